#ifndef TEST_PLATFORM_SOAK_REQUEST_FORMAT_HPP
#define TEST_PLATFORM_SOAK_REQUEST_FORMAT_HPP

#include "test/platform_soak/ledger.hpp"

#include <httplib.h>

#include <string>

namespace chivedeal::soak {

constexpr int events_per_stream = 5;

/// Returns the value of a header field, or an empty string.
std::string header_value(const std::string& request, const std::string& name);

/// Returns the headers with which a caller sends a request.
httplib::Headers format_headers(const ledger::sent_request& request, const std::string& prefix);

/// Reads what `format_headers` wrote from a request at an endpoint.
ledger::sent_request parse_sent_request(const std::string& request);

std::string plain_body(const std::string& request_id);
std::string stream_event(const std::string& request_id, int number);
std::string stream_body(const std::string& request_id);

} // namespace chivedeal::soak

#endif
