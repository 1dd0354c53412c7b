#ifndef TEST_STATE_RANDOM_LOG_HPP
#define TEST_STATE_RANDOM_LOG_HPP

#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/signature.hpp"
#include "chivedeal/state/state_machine.hpp"
#include "chivedeal/state/stream_name.hpp"

#include "absl/strings/str_cat.h"

#include <random>
#include <string>
#include <vector>

namespace chivedeal::state {

inline record signed_change(const std::string& id, const std::string& team, const std::string& path,
                            std::uint64_t expected, std::optional<std::string> body,
                            const std::string& key = "key")
{
    declaration_change change{.team = team_id(team),
                              .path = path,
                              .expected_version = expected,
                              .body = std::move(body),
                              .signature = {}};
    change.signature = sign_change(change, change_id(id), key);
    return {.change = change_id(id), .body = change};
}

/// Windows small enough for random logs to exceed them.
inline state_machine_options small_windows()
{
    return {.team_keys = {{team_id("t"), "key"}, {team_id("u"), "key"}},
            .control_changes = 8,
            .claims_changes = 8,
            .claims = {.window = 12, .max_body_bytes = 20}};
}

struct log_item
{
    std::string stream;
    std::uint64_t offset = 0;
    record entry;
};

/// Generates records with few names. Most have the current offsets, so many take effect.
class random_log
{
public:
    explicit random_log(std::uint64_t seed) : m_random(seed), m_machine(small_windows()) {}

    std::vector<log_item> make(int count)
    {
        std::vector<log_item> items;
        for (int i = 0; i < count; ++i) {
            record entry = !items.empty() && below(6) == 0 ? items[below(items.size())].entry
                                                           : make_record(absl::StrCat("c", i));
            const std::string stream = below(40) == 0 ? control_stream : stream_of(entry.body);
            const std::uint64_t offset = m_machine.applied_offset(stream) + 1 + below(2);
            (void)m_machine.apply(stream, entry, offset);
            items.push_back({stream, offset, std::move(entry)});
        }
        return items;
    }

private:
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    std::string pick(std::initializer_list<const char*> names)
    {
        return names.begin()[below(names.size())];
    }

    record make_change(const std::string& id)
    {
        const std::string service = pick({"s1", "s2"});
        const std::string team = below(8) == 0 ? "u" : "t";
        const std::string version = pick({"v1", "v2", "v3"});
        std::string path = absl::StrCat("/teams/", team, "/services/", service);
        std::string body = R"({"kind": "engine"})";
        if (const auto kind = below(4); kind == 1) {
            path = absl::StrCat("/teams/", team, "/versions/", service, "/", version);
            body = R"({"model": "m"})";
        }
        else if (kind == 2) {
            path = absl::StrCat("/teams/", team, "/moves/", service);
            body = absl::StrCat(R"({"deadline": "2026-12-04T10:00:00Z", "version": ")", version,
                                "\"}");
        }
        else if (kind == 3) {
            path = absl::StrCat("/teams/", team, "/workspaces/w");
            body = absl::StrCat(R"({"priority": )", below(11), "}");
        }
        const auto state = m_machine.publish();
        const auto found = state->declarations.find(path);
        std::uint64_t expected = found == state->declarations.end() ? 0 : found->second->version;
        expected += below(10) == 0 ? 1 : 0;
        return signed_change(id, team, path, expected,
                             below(6) == 0 ? std::nullopt : std::optional<std::string>(body),
                             below(20) == 0 ? "other" : "key");
    }

    record make_record(const std::string& id)
    {
        const auto state = m_machine.publish();
        const service_id service(pick({"s1", "s2"}));
        const version_id version(pick({"v1", "v2", "v3"}));
        const node_id node(pick({"n1", "n2"}));
        const std::string key = pick({"k1", "k2", "k3"});
        const auto lease = state->leases.find("moves");
        const bool has_lease = lease != state->leases.end();
        const auto declared = state->versions.find({service, version});
        switch (below(10)) {
        case 0:
            return {change_id(id), lease_grant{"moves", node, absl::Seconds(15),
                                               has_lease ? lease->second->renewal : below(3)}};
        case 1:
        case 2:
            return {change_id(id), move_step{service, version, static_cast<double>(below(12)) / 10,
                                             "moves", has_lease ? lease->second->fence : 0}};
        case 3:
            return {change_id(id), move_outcome{service, version, below(2) == 0, "reason"}};
        case 4:
            return {change_id(id), version_verdict{service, version,
                                                   declared == state->versions.end()
                                                       ? 1
                                                       : declared->second->declared_offset,
                                                   "errors"}};
        case 5:
            return {change_id(id), claim{key, node, static_cast<int>(below(2))}};
        case 6:
            return {change_id(id), claim_release{key, node, static_cast<int>(below(2))}};
        case 7:
            return {change_id(id),
                    claim_result{key, node, "answered", std::string(below(12), 'b')}};
        default:
            return make_change(id);
        }
    }

    std::mt19937_64 m_random;
    state_machine m_machine;
};

template<class Map>
bool same_values(const Map& a, const Map& b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](const auto& x, const auto& y) {
               return x.first == y.first && *x.second == *y.second;
           });
}

inline bool same_state(const cluster_state& a, const cluster_state& b)
{
    return a.applied_offset == b.applied_offset && same_values(a.declarations, b.declarations) &&
           same_values(a.services, b.services) && same_values(a.workspaces, b.workspaces) &&
           same_values(a.versions, b.versions) && same_values(a.moves, b.moves) &&
           a.current_versions == b.current_versions && a.bad_versions == b.bad_versions &&
           same_values(a.leases, b.leases);
}

inline bool same_machine(state_machine& a, state_machine& b)
{
    const snapshot_data x = a.export_snapshot();
    const snapshot_data y = b.export_snapshot();
    return same_state(*x.control, *y.control) && x.control_changes == y.control_changes &&
           x.claims_offset == y.claims_offset && x.claims == y.claims &&
           x.claims_changes == y.claims_changes;
}

} // namespace chivedeal::state

#endif
