#ifndef CHIVEDEAL_FORWARD_MEMORY_SIZE_HPP
#define CHIVEDEAL_FORWARD_MEMORY_SIZE_HPP

#include <cstddef>
#include <vector>

namespace chivedeal::forward {

struct http_field;
struct http_request;
struct prompt_part;
struct request_head;

/// Memory of an object and of what it owns, without the allocator's overhead. Short header fields
/// and prompt parts take many times the bytes that they have in a request.
std::size_t size_in_memory(const http_field& field);
std::size_t size_in_memory(const http_request& request);
std::size_t size_in_memory(const std::vector<prompt_part>& prefix);
std::size_t size_in_memory(const request_head& head);

} // namespace chivedeal::forward

#endif
