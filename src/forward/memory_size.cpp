#include "chivedeal/forward/memory_size.hpp"

#include "chivedeal/forward/http_request.hpp"
#include "chivedeal/forward/request_head.hpp"

#include <string>

namespace chivedeal::forward {

namespace {

// Shorter strings are stored inside the object.
std::size_t heap_bytes(const std::string& text)
{
    return text.capacity() > std::string().capacity() ? text.size() + 1 : 0;
}

} // namespace

std::size_t size_in_memory(const http_field& field)
{
    return sizeof field + heap_bytes(field.name) + heap_bytes(field.value);
}

std::size_t size_in_memory(const http_request& request)
{
    std::size_t bytes = sizeof request + heap_bytes(request.method) + heap_bytes(request.target) +
                        heap_bytes(request.body);
    for (const http_field& field : request.fields)
        bytes += size_in_memory(field);
    return bytes;
}

std::size_t size_in_memory(const std::vector<prompt_part>& prefix)
{
    std::size_t bytes = 0;
    for (const prompt_part& part : prefix)
        bytes += sizeof part + heap_bytes(part.id);
    return bytes;
}

std::size_t size_in_memory(const request_head& head)
{
    return sizeof head + heap_bytes(head.id.str()) + heap_bytes(head.target) +
           heap_bytes(head.host) + heap_bytes(head.key) + heap_bytes(head.last_event_id) +
           size_in_memory(head.prefix);
}

} // namespace chivedeal::forward
