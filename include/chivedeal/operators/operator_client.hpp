#ifndef CHIVEDEAL_OPERATORS_OPERATOR_CLIENT_HPP
#define CHIVEDEAL_OPERATORS_OPERATOR_CLIENT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::state {
struct declaration;
}

namespace chivedeal::operators {

struct change_answer;

/// An operator's connection to the nodes.
///
/// Calls go to the first node that answers. A change is signed with its team's key and keeps its
/// change ID when it is sent to a further node, so that it takes effect once.
class operator_client
{
public:
    struct options
    {
        std::vector<address> nodes;
        std::map<team_id, std::string> team_keys;
        absl::Duration timeout = absl::Seconds(30);
    };

    explicit operator_client(options wiring);

    /// Sets (or with no body deletes) a path. `outcome_unknown` when no node could tell.
    result<change_answer> change(const std::string& path, const std::optional<std::string>& body,
                                 std::uint64_t expected_version);

    /// Asks what became of an earlier change.
    result<change_answer> change_status(const change_id& change);

    result<std::vector<state::declaration>> declarations(const std::string& prefix);

    /// Body of a GET, a JSON object.
    result<std::string> get(const std::string& path);

    /// Makes the first node stop gracefully.
    status drain();

private:
    template<class Call>
    result<std::string> first_answer(const Call& call);

    options m_options;
};

} // namespace chivedeal::operators

#endif
