#ifndef CHIVEDEAL_REQUESTS_ANSWER_STORE_HPP
#define CHIVEDEAL_REQUESTS_ANSWER_STORE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/finished_answer.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace chivedeal::requests {

/// Keeps finished answers for a bounded time and in bounded memory; the oldest goes first.
class answer_store
{
public:
    struct options
    {
        absl::Duration kept = absl::Seconds(60);
        std::size_t max_bytes = 4 * 1024 * 1024;
    };

    answer_store();
    explicit answer_store(options bounds);

    void add(finished_answer answer, absl::Time now);
    /// Returns null when the answer is not or no longer kept.
    std::shared_ptr<const finished_answer> find(const request_id& request) const;
    void expire(absl::Time now);

    /// Returns the kept answers whose callers had left at the end.
    std::vector<std::shared_ptr<const finished_answer>> undelivered() const;

    std::size_t bytes() const { return m_bytes; }

private:
    struct place
    {
        request_id request;
        absl::Time until;
        std::size_t bytes = 0;
    };

    void drop_oldest();

    options m_options;
    absl::flat_hash_map<request_id, std::shared_ptr<const finished_answer>> m_answers;
    std::deque<place> m_order;
    std::size_t m_bytes = 0;
};

} // namespace chivedeal::requests

#endif
