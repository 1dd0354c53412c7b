#include "chivedeal/requests/answer_store.hpp"

namespace chivedeal::requests {

namespace {

// Strings and containers around the text of a token.
constexpr std::size_t overhead_bytes = 48;

std::size_t size_of(const finished_answer& answer)
{
    std::size_t bytes = answer.request.body.size() + answer.request.prefix.size() + overhead_bytes;
    for (const std::string& token : answer.tokens)
        bytes += token.size() + overhead_bytes;
    return bytes;
}

} // namespace

answer_store::answer_store() : answer_store(options{}) {}

answer_store::answer_store(options bounds) : m_options(bounds) {}

void answer_store::add(finished_answer answer, absl::Time now)
{
    const request_id request = answer.request.id;
    const std::size_t bytes = size_of(answer);
    // An identifier that is used again keeps its first place, so that order and answers agree.
    if (bytes > m_options.max_bytes || m_answers.contains(request))
        return;
    m_answers[request] = std::make_shared<const finished_answer>(std::move(answer));
    m_order.push_back({.request = request, .until = now + m_options.kept, .bytes = bytes});
    m_bytes += bytes;
    while (m_bytes > m_options.max_bytes)
        drop_oldest();
}

std::shared_ptr<const finished_answer> answer_store::find(const request_id& request) const
{
    const auto found = m_answers.find(request);
    return found == m_answers.end() ? nullptr : found->second;
}

void answer_store::expire(absl::Time now)
{
    while (!m_order.empty() && m_order.front().until <= now)
        drop_oldest();
}

std::vector<std::shared_ptr<const finished_answer>> answer_store::undelivered() const
{
    std::vector<std::shared_ptr<const finished_answer>> found;
    for (const place& kept : m_order)
        if (const auto& answer = m_answers.at(kept.request); !answer->delivered)
            found.push_back(answer);
    return found;
}

void answer_store::drop_oldest()
{
    m_bytes -= m_order.front().bytes;
    m_answers.erase(m_order.front().request);
    m_order.pop_front();
}

} // namespace chivedeal::requests
