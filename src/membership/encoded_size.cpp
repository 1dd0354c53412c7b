#include "chivedeal/membership/encoded_size.hpp"

#include <string>

namespace chivedeal::membership {

namespace {

// A packed text: its pointer, and a tag byte for each word of eight characters and the final zero.
std::size_t text_size(const std::string& text)
{
    constexpr std::size_t pointer = 6;
    return pointer + text.size() + 1 + text.size() / 8 + 2;
}

// A packed integer or double of 64 bits with the tag byte.
constexpr std::size_t number_size = 9;

} // namespace

std::size_t encoded_size(const node_record& value)
{
    constexpr std::size_t ports_and_flags = 8;
    return text_size(value.id.str()) + text_size(value.http.host) + text_size(value.rpc.host) +
           text_size(value.region.str()) + text_size(value.zone.str()) + 2 * number_size +
           ports_and_flags;
}

std::size_t encoded_size(const fact& value)
{
    if (const auto* leaving = std::get_if<endpoint_leaving>(&value))
        return text_size(leaving->endpoint.str()) + number_size + 3;
    const auto& bad = std::get<version_bad>(value);
    return text_size(bad.service.str()) + text_size(bad.version.str()) + text_size(bad.reason) +
           number_size + 3;
}

std::size_t encoded_size(const workspace_demand& value)
{
    return text_size(value.node.str()) + text_size(value.workspace.str()) + 3 * number_size;
}

std::size_t encoded_size(const outcome_report& value)
{
    return text_size(value.count.node.str()) + text_size(value.count.service.str()) +
           text_size(value.count.version.str()) + text_size(value.count.route) + 6 * number_size;
}

std::size_t encoded_header_size(const gossip_message& value)
{
    // Segment table, root pointer, digest, counters, list pointers and their tags.
    constexpr std::size_t fixed = 120;
    return encoded_size(value.sender) + fixed;
}

} // namespace chivedeal::membership
