#include "chivedeal/forward/status_line_detector.hpp"

#include "absl/strings/ascii.h"

#include <cstddef>

namespace chivedeal::forward {

namespace {

constexpr std::string_view version_prefix = "HTTP/1.";
constexpr std::size_t status_offset = sizeof("HTTP/1.x ") - 1;
constexpr std::size_t status_digits = 3;

} // namespace

bool starts_with_status_line(std::string_view text)
{
    return text.size() >= status_offset + status_digits &&
           text.substr(0, version_prefix.size()) == version_prefix &&
           text[status_offset - 1] == ' ' &&
           absl::ascii_isdigit(static_cast<unsigned char>(text[status_offset]));
}

bool status_line_detector::feed(std::string_view bytes)
{
    while (true) {
        const std::size_t line_length = bytes.find('\n');
        const std::size_t missing = status_offset + status_digits - m_line_start.size();
        m_line_start += bytes.substr(0, line_length).substr(0, missing);
        if (starts_with_status_line(m_line_start))
            return true;
        if (line_length == std::string_view::npos)
            return false;
        m_line_start.clear();
        bytes.remove_prefix(line_length + 1);
    }
}

} // namespace chivedeal::forward
