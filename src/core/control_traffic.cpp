#include "chivedeal/core/control_traffic.hpp"

#include "chivedeal/core/bounded_http_client.hpp"
#include "chivedeal/core/metrics.hpp"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <string>

namespace chivedeal {

namespace {

// "HTTP/1.1 200 " and the line ends after the start line and after the headers.
constexpr std::uint64_t status_line_bytes = 17;
// " " twice, "HTTP/1.1" and the same line ends.
constexpr std::uint64_t request_line_bytes = 14;
// ": " and the line end.
constexpr std::uint64_t header_bytes = 4;

const char* name_of(control_purpose purpose)
{
    switch (purpose) {
    case control_purpose::rpc:
        return "rpc";
    case control_purpose::log_read:
        return "log_read";
    case control_purpose::log_append:
        return "log_append";
    case control_purpose::instance_list:
        return "instance_list";
    case control_purpose::load_poll:
        return "load_poll";
    }
    return "";
}

std::string counter_of(control_purpose purpose, const char* direction)
{
    return absl::StrCat("chivedeal_control_bytes_total{purpose=\"", name_of(purpose),
                        "\",direction=\"", direction, "\"}");
}

std::uint64_t size_of(const httplib::Headers& headers)
{
    std::uint64_t bytes = 0;
    for (const auto& [name, value] : headers)
        bytes += name.size() + value.size() + header_bytes;
    return bytes;
}

} // namespace

void control_traffic::add_sent(control_purpose purpose, std::uint64_t bytes)
{
    m_counters.add(counter_of(purpose, "sent"), static_cast<double>(bytes));
}

void control_traffic::add_received(control_purpose purpose, std::uint64_t bytes)
{
    m_counters.add(counter_of(purpose, "received"), static_cast<double>(bytes));
}

void control_traffic::watch(bounded_http_client& client, control_purpose purpose)
{
    client.set_logger([this, purpose](const httplib::Request& sent, const httplib::Response& got) {
        add_sent(purpose, request_line_bytes + sent.method.size() + sent.path.size() +
                              size_of(sent.headers) + sent.body.size());
        add_received(purpose, status_line_bytes + got.reason.size() + size_of(got.headers) +
                                  got.body.size());
    });
}

} // namespace chivedeal
