#include "chivedeal/operators/operator_client.hpp"

#include "chivedeal/core/random_id.hpp"
#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/operators/wire.hpp"
#include "chivedeal/state/declaration.hpp"
#include "chivedeal/state/declaration_path.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/signature.hpp"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <chrono>
#include <utility>

namespace chivedeal::operators {

namespace {

constexpr auto connect_timeout = std::chrono::seconds(1);

error unreachable()
{
    return {.code = result_code::node_unreachable,
            .message = "no node answered; name others with --nodes"};
}

} // namespace

operator_client::operator_client(options wiring) : m_options(std::move(wiring)) {}

// Returns the body of the first answer. A node that refuses because it is not ready or stopping is
// passed over like one that does not answer.
template<class Call>
result<std::string> operator_client::first_answer(const Call& call)
{
    error last = unreachable();
    for (const address& node : m_options.nodes) {
        httplib::Client client(node.host, node.port);
        client.set_connection_timeout(connect_timeout);
        client.set_read_timeout(absl::ToInt64Seconds(m_options.timeout));
        const httplib::Result answer = call(client);
        if (!answer)
            continue;
        if (answer->status == 200)
            return answer->body;
        last = decode_error(answer->body);
        if (last.code != result_code::not_ready && last.code != result_code::stopping)
            return last;
    }
    return last;
}

result<change_answer> operator_client::change(const std::string& path,
                                              const std::optional<std::string>& body,
                                              std::uint64_t expected_version)
{
    const auto parsed = state::parse_declaration_path(path);
    if (!is_ok(parsed))
        return get_error(parsed);
    const team_id& team = get_value(parsed).team;
    const auto key = m_options.team_keys.find(team);
    if (key == m_options.team_keys.end())
        return error{
            .code = result_code::bad_signature,
            .message = absl::StrCat("no key of team '", team.str(), "'; set CHIVEDEAL_TEAM_KEYS")};
    const change_id change(random_id());
    state::declaration_change entry{.team = team,
                                    .path = path,
                                    .expected_version = expected_version,
                                    .body = body,
                                    .signature = {}};
    entry.signature = state::sign_change(entry, change, key->second);
    const std::string request = encode_change(change, entry);
    const auto answer = first_answer([&](httplib::Client& client) {
        return client.Put("/v1/declarations", request, "application/json");
    });
    if (is_ok(answer))
        return decode_change_answer(get_value(answer));
    if (get_error(answer).code == result_code::node_unreachable)
        return error{.code = result_code::outcome_unknown,
                     .message = absl::StrCat("no node told the outcome; ask with `chivedeal get "
                                             "--change ",
                                             change.str(), "`")};
    return get_error(answer);
}

result<change_answer> operator_client::change_status(const change_id& change)
{
    const auto answer = first_answer([&](httplib::Client& client) {
        return client.Get(absl::StrCat("/v1/changes/", change.str()));
    });
    if (!is_ok(answer))
        return get_error(answer);
    return decode_change_answer(get_value(answer));
}

result<std::vector<state::declaration>> operator_client::declarations(const std::string& prefix)
{
    const auto answer = first_answer([&](httplib::Client& client) {
        return client.Get("/v1/declarations", httplib::Params{{"prefix", prefix}},
                          httplib::Headers{});
    });
    if (!is_ok(answer))
        return get_error(answer);
    return decode_declarations(get_value(answer));
}

result<std::string> operator_client::get(const std::string& path)
{
    return first_answer([&](httplib::Client& client) { return client.Get(path); });
}

status operator_client::drain()
{
    const auto answer = first_answer([&](httplib::Client& client) {
        return client.Post("/v1/drain", "{}", "application/json");
    });
    if (!is_ok(answer))
        return get_error(answer);
    return ok_status();
}

} // namespace chivedeal::operators
