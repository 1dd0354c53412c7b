#include "chivedeal/core/settings_parser.hpp"

#include "chivedeal/core/team_keys.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

#include <boost/program_options.hpp>

#include <functional>
#include <optional>
#include <sstream>
#include <utility>

namespace chivedeal {

namespace {

namespace program_options = boost::program_options;

constexpr const char* environment_prefix = "CHIVEDEAL_";
constexpr const char* team_keys_file_flag = "team-keys-file";

using setter = std::function<std::optional<std::string>(settings&, const std::string&)>;

// One setting: its flag, help with unit, default (empty for a required one) and how it is read.
struct setting_row
{
    std::string flag;
    std::string help;
    std::string fallback;
    setter set;
};

template<class Id>
setter text(Id settings::*member)
{
    return [member](settings& out, const std::string& value) -> std::optional<std::string> {
        if (value.empty())
            return "must not be empty";
        if (value.find_first_of(" /,=") != std::string::npos)
            return "must not contain spaces, '/', ',' or '='";
        out.*member = Id(value);
        return std::nullopt;
    };
}

setter host_and_port(address settings::*member)
{
    return [member](settings& out, const std::string& value) -> std::optional<std::string> {
        auto parsed = parse_address(value);
        if (!is_ok(parsed))
            return get_error(parsed).message;
        out.*member = take_value(std::move(parsed));
        return std::nullopt;
    };
}

setter address_list(std::vector<address> settings::*member)
{
    return [member](settings& out, const std::string& value) -> std::optional<std::string> {
        std::vector<address> addresses;
        for (const auto& part : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
            auto parsed = parse_address(part);
            if (!is_ok(parsed))
                return get_error(parsed).message;
            addresses.push_back(take_value(std::move(parsed)));
        }
        out.*member = std::move(addresses);
        return std::nullopt;
    };
}

setter milliseconds(absl::Duration settings::*member, int least, int most)
{
    return [=](settings& out, const std::string& value) -> std::optional<std::string> {
        int parsed = 0;
        if (!absl::SimpleAtoi(value, &parsed) || parsed < least || parsed > most)
            return absl::StrCat("must be ", least, " to ", most, " (milliseconds)");
        out.*member = absl::Milliseconds(parsed);
        return std::nullopt;
    };
}

setter count(std::size_t settings::*member, std::size_t least, std::size_t most)
{
    return [=](settings& out, const std::string& value) -> std::optional<std::string> {
        std::uint64_t parsed = 0;
        if (!absl::SimpleAtoi(value, &parsed) || parsed < least || parsed > most)
            return absl::StrCat("must be ", least, " to ", most);
        out.*member = parsed;
        return std::nullopt;
    };
}

setter ratio(double settings::*member)
{
    return [member](settings& out, const std::string& value) -> std::optional<std::string> {
        double parsed = 0;
        if (!absl::SimpleAtod(value, &parsed) || !(parsed >= 0 && parsed <= 1))
            return "must be 0 to 1";
        out.*member = parsed;
        return std::nullopt;
    };
}

constexpr int day_ms = 24 * 60 * 60 * 1000;

const std::vector<setting_row>& setting_rows()
{
    static const std::vector<setting_row> rows{
        {"node", "name of this node, unique among all nodes", "", text(&settings::node)},
        {"region", "region of this node", "", text(&settings::region)},
        {"zone", "zone (failure domain) of this node", "", text(&settings::zone)},
        {"http", "IP:PORT for callers and operators", "", host_and_port(&settings::http)},
        {"rpc", "IP:PORT for other nodes", "", host_and_port(&settings::rpc)},
        {"platform", "IP:PORT of the platform's services", "", host_and_port(&settings::platform)},
        {"seeds", "comma-separated RPC addresses of other nodes", ",",
         address_list(&settings::seeds)},
        {"address-ttl-ms", "how long callers keep an address answer, ms", "5000",
         milliseconds(&settings::address_ttl, 100, 60'000)},
        {"gossip-interval-ms", "time between gossip exchanges, ms", "1000",
         milliseconds(&settings::gossip_interval, 20, 60'000)},
        {"log-poll-wait-ms", "longest wait of a log read, ms", "10000",
         milliseconds(&settings::log_poll_wait, 50, 60'000)},
        {"log-timeout-ms", "timeout of a log append, ms", "3000",
         milliseconds(&settings::log_timeout, 50, 60'000)},
        {"log-retention-ms", "how long the platform keeps log records, ms", "86400000",
         milliseconds(&settings::log_retention, 1000, 7 * day_ms)},
        {"proposal-timeout-ms", "longest wait for an operator's change to be read back, ms", "5000",
         milliseconds(&settings::proposal_timeout, 50, 60'000)},
        {"claim-timeout-ms", "longest wait for a claim to be read back, ms", "3000",
         milliseconds(&settings::claim_timeout, 50, 60'000)},
        {"instance-poll-ms", "time between reads of the instance list and notices, ms", "500",
         milliseconds(&settings::instance_poll, 20, 60'000)},
        {"load-poll-ms", "time between reads of an endpoint's load, ms", "500",
         milliseconds(&settings::load_poll, 20, 60'000)},
        {"lease-term-ms", "term of a lease, ms", "15000",
         milliseconds(&settings::lease_term, 300, 600'000)},
        {"order-flight-ms", "longest time an order to an engine is under way, ms", "5000",
         milliseconds(&settings::max_order_delay, 0, 600'000)},
        {"drain-grace-ms", "how long a stopping node lets streams end, ms", "10000",
         milliseconds(&settings::drain_grace, 0, 600'000)},
        {"max-streams", "open requests", "400", count(&settings::max_streams, 1, 10'000)},
        {"endpoint-workers", "attempts that run at once", "256",
         count(&settings::endpoint_workers, 1, 10'000)},
        {"max-request-bytes", "largest request body, bytes", "4194304",
         count(&settings::max_request_bytes, 1024, 1024 * 1024 * 1024)},
        {"memory-mb", "memory of the instance, MB; 0: that of the machine", "0",
         count(&settings::memory_mb, 0, 16 * 1024 * 1024)},
        {"max-descriptors", "descriptors of the process; 0: its limit", "0",
         count(&settings::max_descriptors, 0, 100'000'000)},
        {"retry-ratio", "retries allowed for each first attempt, 0 to 1", "0.2",
         ratio(&settings::retry_ratio)},
    };
    return rows;
}

std::string variable_of(const std::string& flag)
{
    return absl::StrCat(environment_prefix,
                        absl::AsciiStrToUpper(absl::StrReplaceAll(flag, {{"-", "_"}})));
}

program_options::options_description describe_options()
{
    program_options::options_description options("Settings (flag or environment variable)");
    auto add = options.add_options();
    for (const setting_row& row : setting_rows()) {
        const std::string help = absl::StrCat(row.help, " [", variable_of(row.flag),
                                              row.fallback.empty()  ? ", required"
                                              : row.fallback == "," ? ", default none"
                                                                    : ", default " + row.fallback,
                                              "]");
        add(row.flag.c_str(), program_options::value<std::string>(), help.c_str());
    }
    add(team_keys_file_flag, program_options::value<std::string>(),
        "file with one TEAM=KEY a line; the environment variable CHIVEDEAL_TEAM_KEYS holds the "
        "same, comma-separated [CHIVEDEAL_TEAM_KEYS_FILE]");
    return options;
}

error invalid(std::string message)
{
    return {.code = result_code::invalid_setting, .message = std::move(message)};
}

// Rules that bind two settings.
void check_combinations(const settings& value, std::vector<error>& faults)
{
    if (value.http == value.rpc && value.http.port != 0)
        faults.push_back(invalid("--http and --rpc must differ"));
    if (value.claim_timeout >= value.log_retention / 2)
        faults.push_back(invalid("--claim-timeout-ms must be below half of --log-retention-ms"));
    if (value.lease_term < 3 * absl::Milliseconds(100))
        faults.push_back(invalid("--lease-term-ms must leave room for three renewals"));
    if (value.endpoint_workers > value.max_streams)
        faults.push_back(invalid("--endpoint-workers must not exceed --max-streams"));
}

program_options::variables_map read_values(const std::vector<std::string>& arguments,
                                           std::vector<error>& faults)
{
    const auto options = describe_options();
    program_options::variables_map values;
    try {
        const auto parsed = program_options::command_line_parser(arguments)
                                .options(options)
                                .style(program_options::command_line_style::unix_style ^
                                       program_options::command_line_style::allow_guessing)
                                .allow_unregistered()
                                .run();
        for (const auto& unknown : program_options::collect_unrecognized(
                 parsed.options, program_options::include_positional))
            faults.push_back(invalid(absl::StrCat("'", unknown, "' is not a setting; see --help")));
        program_options::store(parsed, values);
        program_options::store(program_options::parse_environment(
                                   options,
                                   [](const std::string& variable) -> std::string {
                                       for (const setting_row& row : setting_rows())
                                           if (variable == variable_of(row.flag))
                                               return row.flag;
                                       return variable == variable_of(team_keys_file_flag)
                                                  ? team_keys_file_flag
                                                  : "";
                                   }),
                               values);
    }
    catch (const program_options::error& fault) {
        faults.push_back(invalid(fault.what()));
    }
    return values;
}

} // namespace

std::variant<settings, std::vector<error>>
settings_parser::parse(const std::vector<std::string>& arguments) const
{
    std::vector<error> faults;
    settings out;
    const auto values = read_values(arguments, faults);
    for (const setting_row& row : setting_rows()) {
        const bool given = values.contains(row.flag);
        if (!given && row.fallback.empty()) {
            faults.push_back(invalid(absl::StrCat("--", row.flag, " (or ", variable_of(row.flag),
                                                  ") is required: ", row.help)));
            continue;
        }
        const std::string value = given ? values[row.flag].as<std::string>() : row.fallback;
        if (const auto fault = row.set(out, value))
            faults.push_back(invalid(absl::StrCat("--", row.flag, " '", value, "': ", *fault)));
    }
    team_keys keys = read_team_keys(
        values.contains(team_keys_file_flag) ? values[team_keys_file_flag].as<std::string>() : "");
    faults.insert(faults.end(), keys.faults.begin(), keys.faults.end());
    out.team_keys = std::move(keys.keys);
    if (faults.empty())
        check_combinations(out, faults);
    if (!faults.empty())
        return faults;
    return out;
}

std::string settings_parser::help() const
{
    std::ostringstream out;
    out << describe_options();
    return out.str();
}

} // namespace chivedeal
