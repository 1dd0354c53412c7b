#ifndef FAKES_FAKE_ENDPOINT_CLIENT_HPP
#define FAKES_FAKE_ENDPOINT_CLIENT_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/requests/attempt_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/endpoint_client.hpp"
#include "chivedeal/requests/flow_command.hpp"

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Reports the same events for every attempt.
class fake_endpoint_client : public requests::endpoint_client
{
public:
    explicit fake_endpoint_client(std::vector<requests::attempt_event_body> events)
        : m_events(std::move(events))
    {}

    void run(const requests::attempt_start& start,
             const std::function<bool(requests::attempt_event)>& report) override
    {
        for (const auto& body : m_events)
            if (!report({.request = start.request, .attempt = start.attempt, .body = body}))
                return;
    }

    void cancel(const requests::cancel_attempt& order) override
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_cancelled.push_back(order);
    }

    result<std::string> move(const requests::move_kv& order) override
    {
        return "kv of " + order.request.str();
    }

    std::vector<requests::cancel_attempt> cancelled() const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_cancelled;
    }

private:
    mutable mutex m_mutex;
    std::vector<requests::cancel_attempt> m_cancelled;
    std::vector<requests::attempt_event_body> m_events;
};

} // namespace chivedeal::fakes

#endif
