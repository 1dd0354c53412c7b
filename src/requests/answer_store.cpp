#include "chivedeal/requests/answer_store.hpp"

namespace chivedeal::requests {

namespace {

// Memory used by the string and the container entry besides the text.
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

answer_store::answer_store(options limits) : m_options(limits) {}

void answer_store::add(finished_answer answer, absl::Time now)
{
    const request_id request = answer.request.id;
    const std::size_t bytes = size_of(answer);
    // A repeated ID keeps its first entry, so that m_order and m_answers stay consistent.
    if (bytes > m_options.max_bytes || m_answers.contains(request))
        return;
    m_answers[request] = std::make_shared<const finished_answer>(std::move(answer));
    m_order.push_back(
        {.request = request, .expires_at = now + m_options.retention, .bytes = bytes});
    m_bytes += bytes;
    while (m_bytes > m_options.max_bytes)
        evict_oldest();
}

std::shared_ptr<const finished_answer> answer_store::find(const request_id& request) const
{
    const auto it = m_answers.find(request);
    return it == m_answers.end() ? nullptr : it->second;
}

void answer_store::expire(absl::Time now)
{
    while (!m_order.empty() && m_order.front().expires_at <= now)
        evict_oldest();
}

std::vector<std::shared_ptr<const finished_answer>> answer_store::undelivered() const
{
    std::vector<std::shared_ptr<const finished_answer>> answers;
    for (const stored_answer& stored : m_order)
        if (const auto& answer = m_answers.at(stored.request); !answer->delivered)
            answers.push_back(answer);
    return answers;
}

void answer_store::evict_oldest()
{
    m_bytes -= m_order.front().bytes;
    m_answers.erase(m_order.front().request);
    m_order.pop_front();
}

} // namespace chivedeal::requests
