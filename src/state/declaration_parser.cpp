#include "chivedeal/state/declaration_parser.hpp"

#include "chivedeal/state/declaration_path.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace chivedeal::state {

namespace {

using nlohmann::json;

constexpr std::size_t max_body_bytes = 64 * 1024;
constexpr std::size_t max_list_entries = 256;

// Exceeds the 1,800 servers that the design supports; larger values are input errors.
constexpr int max_endpoints = 10'000;

// One day; limits every duration so that sums of durations can't overflow.
constexpr double max_milliseconds = 86'400'000;

// Reads fields of a JSON object; records the first error and the requested field names.
class field_reader
{
public:
    explicit field_reader(const std::string& body)
    {
        if (body.size() > max_body_bytes)
            fail("body", "is larger than 64 KB");
        else
            m_object = json::parse(body, nullptr, false);
        if (!m_object.is_object())
            fail("body", "is not a JSON object");
    }

    std::string text(const char* name, std::string fallback, bool required = false)
    {
        const json* field = find(name, required);
        if (field == nullptr)
            return fallback;
        if (!field->is_string() || (required && field->get_ref<const std::string&>().empty()))
            return fail(name, "must be a non-empty string"), fallback;
        return field->get<std::string>();
    }

    bool flag(const char* name, bool fallback)
    {
        const json* field = find(name, false);
        if (field == nullptr)
            return fallback;
        if (!field->is_boolean())
            return fail(name, "must be true or false"), fallback;
        return field->get<bool>();
    }

    double number(const char* name, double fallback, double low, double high)
    {
        const json* field = find(name, false);
        if (field == nullptr)
            return fallback;
        if (!field->is_number() || !(field->get<double>() >= low && field->get<double>() <= high))
            return fail(name, absl::StrCat("must be a number from ", low, " to ", high)), fallback;
        return field->get<double>();
    }

    int whole_number(const char* name, int fallback, int low, int high)
    {
        const json* field = find(name, false);
        if (field == nullptr)
            return fallback;
        if (!field->is_number_integer() || field->get<double>() < low ||
            field->get<double>() > high)
            return fail(name, absl::StrCat("must be a whole number from ", low, " to ", high)),
                   fallback;
        return field->get<int>();
    }

    std::uint64_t bytes(const char* name)
    {
        const json* field = find(name, false);
        if (field == nullptr)
            return 0;
        if (!field->is_number_unsigned())
            return fail(name, "must be a whole number of bytes, 0 or more"), 0;
        return field->get<std::uint64_t>();
    }

    absl::Duration milliseconds(const char* name, absl::Duration fallback)
    {
        return absl::Milliseconds(
            number(name, absl::ToDoubleMilliseconds(fallback), 1, max_milliseconds));
    }

    std::vector<std::string> names(const char* name)
    {
        const json* field = find(name, false);
        std::vector<std::string> values;
        if (field == nullptr)
            return values;
        if (!field->is_array() || field->size() > max_list_entries)
            return fail(name, "must be a list of at most 256 strings"), values;
        for (const json& entry : *field) {
            if (!entry.is_string() || entry.get_ref<const std::string&>().empty())
                return fail(name, "must hold non-empty strings only"), values;
            values.push_back(entry.get<std::string>());
        }
        return values;
    }

    void fail(const char* name, const std::string& reason)
    {
        if (m_error.code == result_code::ok)
            m_error = {.code = result_code::invalid_declaration,
                       .message = absl::StrCat("field \"", name, "\" ", reason)};
    }

    /// Returns the value or the first error. A field that was not requested is an error.
    result<parsed_declaration> finish(parsed_declaration value)
    {
        if (m_error.code == result_code::ok)
            for (const auto& [name, field] : m_object.items())
                if (std::find(m_requested_names.begin(), m_requested_names.end(), name) ==
                    m_requested_names.end())
                    fail(name.c_str(), "is not known");
        if (m_error.code != result_code::ok)
            return m_error;
        return value;
    }

private:
    const json* find(const char* name, bool required)
    {
        m_requested_names.push_back(name);
        if (!m_object.is_object())
            return nullptr;
        const auto found = m_object.find(name);
        if (found != m_object.end())
            return &*found;
        if (required)
            fail(name, "is missing");
        return nullptr;
    }

    json m_object;
    std::vector<absl::string_view> m_requested_names;
    error m_error;
};

result<parsed_declaration> parse_service(const declaration_path& path, field_reader fields)
{
    const service defaults;
    const std::string kind = fields.text("kind", "engine", true);
    if (kind != "engine" && kind != "plain")
        fields.fail("kind", "must be \"engine\" or \"plain\"");
    service parsed{.name = service_id(path.name),
                   .team = path.team,
                   .kind = kind == "plain" ? service_kind::plain : service_kind::engine,
                   .latency_target =
                       fields.milliseconds("latency_target_ms", defaults.latency_target),
                   .token_gap = fields.milliseconds("token_gap_ms", defaults.token_gap),
                   .checks_fencing = fields.flag("checks_fencing", defaults.checks_fencing),
                   .routes = fields.names("routes"),
                   .min_endpoints = fields.whole_number("min_endpoints", 0, 0, max_endpoints),
                   .max_endpoints = fields.whole_number("max_endpoints", 0, 0, max_endpoints)};
    if (parsed.min_endpoints > parsed.max_endpoints)
        fields.fail("min_endpoints", "must not be above max_endpoints");
    return fields.finish(std::move(parsed));
}

result<parsed_declaration> parse_workspace(const declaration_path& path, field_reader fields)
{
    const workspace defaults;
    workspace parsed{.name = workspace_id(path.name),
                     .team = path.team,
                     .rate = fields.number("rate", defaults.rate, 0, 1e6),
                     .burst = fields.number("burst", defaults.burst, 1, 1e6),
                     .priority = fields.whole_number("priority", defaults.priority, 0, 9),
                     .concurrency =
                         fields.whole_number("concurrency", defaults.concurrency, 1, 1'000'000)};
    return fields.finish(std::move(parsed));
}

result<parsed_declaration> parse_version(const declaration_path& path, field_reader fields)
{
    endpoint_version parsed{.service = service_id(path.name),
                            .name = version_id(path.version),
                            .team = path.team,
                            .model = fields.text("model", ""),
                            .adapter = fields.text("adapter", ""),
                            .classes = fields.names("classes"),
                            .weights_bytes = fields.bytes("weights_bytes")};
    return fields.finish(std::move(parsed));
}

result<parsed_declaration> parse_move(const declaration_path& path, field_reader fields)
{
    const version_move defaults;
    version_move parsed{
        .service = service_id(path.name),
        .team = path.team,
        .from = {},
        .to = version_id(fields.text("version", "", true)),
        .deadline = {},
        .bake =
            absl::Seconds(fields.number("bake_s", absl::ToDoubleSeconds(defaults.bake), 0, 86'400)),
        .max_unproven_share = fields.number("max_share", defaults.max_unproven_share, 0, 1),
        .reason = {}};
    std::string reason;
    if (!absl::ParseTime(absl::RFC3339_full, fields.text("deadline", "", true), &parsed.deadline,
                         &reason) ||
        parsed.deadline == absl::InfiniteFuture() || parsed.deadline == absl::InfinitePast())
        fields.fail("deadline", "must be an RFC 3339 time such as 2026-12-04T09:00:00Z");
    return fields.finish(std::move(parsed));
}

} // namespace

result<parsed_declaration> parse_declaration(const declaration_path& path, const std::string& body)
{
    switch (path.kind) {
    case declaration_kind::service:
        return parse_service(path, field_reader(body));
    case declaration_kind::workspace:
        return parse_workspace(path, field_reader(body));
    case declaration_kind::version:
        return parse_version(path, field_reader(body));
    case declaration_kind::move:
        return parse_move(path, field_reader(body));
    }
    return error{.code = result_code::invalid_path, .message = "unknown kind of declaration"};
}

} // namespace chivedeal::state
