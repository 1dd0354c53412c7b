#include "chivedeal/endpoints/load_reading.hpp"

#include <charconv>
#include <string_view>
#include <system_error>

namespace chivedeal::endpoints {

namespace {

// More requests or slots than any endpoint has. Larger figures are malformed.
constexpr int max_count = 100000;
// Range of a plausible pace in percent.
constexpr int min_pace_percent = 1;
constexpr int max_pace_percent = 10000;
// Longer headers are rejected.
constexpr std::size_t max_text_bytes = 200;

std::string_view without_spaces(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Removes the first figure and its comma from `text` and returns it. Returns nothing if it isn't an
// integer from `min` to `max`.
std::optional<int> take_figure(std::string_view& text, int min, int max)
{
    const std::size_t comma = text.find(',');
    const std::string_view figure = without_spaces(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    int value = 0;
    const auto [end, fault] = std::from_chars(figure.data(), figure.data() + figure.size(), value);
    if (figure.empty() || fault != std::errc() || end != figure.data() + figure.size() ||
        value < min || value > max)
        return std::nullopt;
    return value;
}

} // namespace

std::optional<load_reading> parse_load_reading(std::string_view text)
{
    if (text.size() > max_text_bytes)
        return std::nullopt;
    const auto running = take_figure(text, 0, max_count);
    const auto waiting = take_figure(text, 0, max_count);
    const auto slots = take_figure(text, 1, max_count);
    if (!running || !waiting || !slots || *running > *slots)
        return std::nullopt;
    load_reading reading{.running = *running, .waiting = *waiting, .slots = *slots};
    if (const auto pace = take_figure(text, min_pace_percent, max_pace_percent))
        reading.pace = *pace / 100.0;
    return reading;
}

} // namespace chivedeal::endpoints
