#include "chivedeal/requests/prompt_prefix.hpp"

#include "chivedeal/requests/request_members.hpp"

namespace chivedeal::requests {

namespace {

// Prompts that differ only after this length are rare, so the rest need not be compared.
constexpr std::size_t max_prefix_bytes = 1024;

bool is_utf8_continuation(char byte) { return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U; }

} // namespace

std::string prompt_prefix(absl::string_view prompt)
{
    if (prompt.size() <= max_prefix_bytes)
        return std::string(prompt);
    std::size_t end = max_prefix_bytes;
    while (end > 0 && is_utf8_continuation(prompt[end]))
        --end;
    return std::string(prompt.substr(0, end));
}

std::string prompt_prefix_of_body(const std::string& body)
{
    const auto members = read_request_members(body);
    return members ? members->prefix : std::string();
}

} // namespace chivedeal::requests
