#include "chivedeal/requests/request_entry.hpp"

#include <utility>

namespace chivedeal::requests {

namespace {

// Approximate for English and German text.
constexpr std::size_t bytes_per_token = 4;

} // namespace

request_entry::request_entry(caller_request request, std::uint64_t connection, absl::Time arrived)
    : m_request(std::move(request)), m_arrived(arrived), m_connection(connection)
{
    m_query = route_query{.request = m_request.id,
                          .service = m_request.service,
                          .route = m_request.route,
                          .prefix = m_request.prefix,
                          .prompt_tokens = m_request.body.size() / bytes_per_token,
                          .excluded = {}};
}

request_entry::token_effect request_entry::add_token(std::uint64_t position,
                                                     const std::string& text)
{
    if (position < m_tokens.size())
        return token_effect::duplicate;
    if (position > m_tokens.size())
        return token_effect::gap;
    m_tokens.push_back(text);
    return token_effect::added;
}

const attempt_record& request_entry::begin_attempt(attempt_record attempt)
{
    attempt.number = ++m_last_attempt;
    retry_at = absl::InfiniteFuture();
    kv_target = {};
    planned_step_at = absl::InfiniteFuture();
    m_live_attempt = std::move(attempt);
    return *m_live_attempt;
}

void request_entry::record_first_token(absl::Time now)
{
    if (m_live_attempt && m_live_attempt->first_token_at == absl::InfiniteFuture())
        m_live_attempt->first_token_at = now;
}

void request_entry::attach_caller(std::uint64_t connection)
{
    m_connection = connection;
    m_resume_until = absl::InfiniteFuture();
}

void request_entry::detach_caller(absl::Time resume_until)
{
    m_connection = 0;
    m_resume_until = resume_until;
}

} // namespace chivedeal::requests
