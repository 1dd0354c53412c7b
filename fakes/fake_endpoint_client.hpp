#ifndef FAKES_FAKE_ENDPOINT_CLIENT_HPP
#define FAKES_FAKE_ENDPOINT_CLIENT_HPP

#include "chivedeal/requests/attempt_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/endpoint_client.hpp"

#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Plays the same answer for every attempt.
class fake_endpoint_client : public requests::endpoint_client
{
public:
    explicit fake_endpoint_client(std::vector<requests::attempt_event_body> answer)
        : m_answer(std::move(answer))
    {}

    void run(const requests::attempt_start& start,
             const std::function<bool(requests::attempt_event)>& report) override
    {
        for (const auto& body : m_answer)
            if (!report({.request = start.request, .attempt = start.attempt, .body = body}))
                return;
    }

private:
    std::vector<requests::attempt_event_body> m_answer;
};

} // namespace chivedeal::fakes

#endif
