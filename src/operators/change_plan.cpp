#include "chivedeal/operators/change_plan.hpp"

#include "chivedeal/operators/declared_file.hpp"
#include "chivedeal/state/declaration.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace chivedeal::operators {

namespace {

// Later kinds refer to earlier ones.
constexpr std::array<const char*, 4> kind_order{"services", "workspaces", "versions", "moves"};

// /teams/TEAM/KIND/... split at the slashes has the team at 2 and the kind at 3.
std::string part_of(const std::string& path, std::size_t index)
{
    const std::vector<std::string> parts = absl::StrSplit(path, '/');
    return index < parts.size() ? parts[index] : std::string();
}

std::ptrdiff_t rank_of(const std::string& path)
{
    return std::find(kind_order.begin(), kind_order.end(), part_of(path, 3)) - kind_order.begin();
}

bool same_json(const std::string& left, const std::string& right)
{
    return nlohmann::json::parse(left, nullptr, false) ==
           nlohmann::json::parse(right, nullptr, false);
}

bool applies_before(const planned_change& left, const planned_change& right)
{
    const bool left_removes = left.kind == change_kind::remove;
    const bool right_removes = right.kind == change_kind::remove;
    if (left_removes != right_removes)
        return right_removes;
    return left_removes ? rank_of(left.path) > rank_of(right.path)
                        : rank_of(left.path) < rank_of(right.path);
}

} // namespace

std::vector<planned_change> plan_changes(const std::vector<declared_file>& files,
                                         const std::vector<state::declaration>& declared,
                                         bool prune)
{
    std::map<std::string, const state::declaration*> remaining;
    for (const state::declaration& one : declared)
        remaining[one.path] = &one;
    std::set<std::string> teams;
    std::vector<planned_change> changes;
    for (const declared_file& file : files) {
        teams.insert(part_of(file.path, 2));
        const auto found = remaining.find(file.path);
        if (found == remaining.end()) {
            changes.push_back({.kind = change_kind::add, .path = file.path, .body = file.body});
            continue;
        }
        if (!same_json(found->second->body, file.body))
            changes.push_back({.kind = change_kind::update,
                               .path = file.path,
                               .body = file.body,
                               .previous_body = found->second->body,
                               .expected_version = found->second->version});
        remaining.erase(found);
    }
    for (const auto& [path, one] : remaining)
        if (prune && teams.contains(part_of(path, 2)))
            changes.push_back({.kind = change_kind::remove,
                               .path = path,
                               .previous_body = one->body,
                               .expected_version = one->version});
    std::stable_sort(changes.begin(), changes.end(), applies_before);
    return changes;
}

std::string to_string(const planned_change& change)
{
    switch (change.kind) {
    case change_kind::add:
        return absl::StrCat("add    ", change.path, "\n  + ", *change.body);
    case change_kind::update:
        return absl::StrCat("update ", change.path, "\n  - ", change.previous_body, "\n  + ",
                            *change.body);
    case change_kind::remove:
        return absl::StrCat("remove ", change.path, "\n  - ", change.previous_body);
    }
    return change.path;
}

} // namespace chivedeal::operators
