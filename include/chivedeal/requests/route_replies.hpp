#ifndef CHIVEDEAL_REQUESTS_ROUTE_REPLIES_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_REPLIES_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/requests/route_reply.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace chivedeal::requests {

class ready_answers;

/// Replies on their way from the route workers to the thread that owns the callers' connections. At
/// most one for each connection. Thread-safe.
class route_replies
{
public:
    explicit route_replies(std::shared_ptr<ready_answers> ready);

    void add(std::uint64_t connection, route_reply reply);
    std::optional<route_reply> take(std::uint64_t connection);

private:
    std::shared_ptr<ready_answers> m_ready;
    mutex m_mutex;
    std::map<std::uint64_t, route_reply> m_replies;
};

} // namespace chivedeal::requests

#endif
