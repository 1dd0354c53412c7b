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

/// Keeps finished answers for a limited time and in limited memory; evicts the oldest first.
class answer_store
{
public:
    struct options
    {
        absl::Duration retention = absl::Seconds(60);
        std::size_t max_bytes = 4 * 1024 * 1024;
    };

    answer_store();
    explicit answer_store(options limits);

    void add(finished_answer answer, absl::Time now);
    /// Returns null if the answer is not stored or has been evicted.
    std::shared_ptr<const finished_answer> find(const request_id& request) const;
    /// Removes the answers whose retention has passed.
    void expire(absl::Time now);

    /// Returns the stored answers whose callers had disconnected when the request finished.
    std::vector<std::shared_ptr<const finished_answer>> undelivered() const;

    std::size_t bytes() const { return m_bytes; }

private:
    struct stored_answer
    {
        request_id request;
        absl::Time expires_at;
        std::size_t bytes = 0;
    };

    void evict_oldest();

    options m_options;
    absl::flat_hash_map<request_id, std::shared_ptr<const finished_answer>> m_answers;
    std::deque<stored_answer> m_order;
    std::size_t m_bytes = 0;
};

} // namespace chivedeal::requests

#endif
