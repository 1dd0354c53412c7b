#ifndef CHIVEDEAL_FORWARD_PROMPT_PART_HPP
#define CHIVEDEAL_FORWARD_PROMPT_PART_HPP

#include <cstdint>
#include <string>

namespace chivedeal::forward {

/// A part of a prompt that other requests may share.
struct prompt_part
{
    std::string id;
    std::int64_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

} // namespace chivedeal::forward

#endif
