#ifndef CHIVEDEAL_STATE_STATE_MACHINE_HPP
#define CHIVEDEAL_STATE_STATE_MACHINE_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/state/change_id_history.hpp"
#include "chivedeal/state/claim_table.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/declaration_parser.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/snapshot_data.hpp"
#include "chivedeal/state/state_machine_options.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chivedeal::state {

struct declaration_path;

/// Applies log records to the state; pure, so that all nodes decide alike.
///
///     state_machine machine({.team_keys = keys});
///     const auto effect = machine.apply(control_stream, entry, offset);
class state_machine
{
public:
    explicit state_machine(state_machine_options options);

    /// Returns the record's effect, `ok` when its preconditions held. Returns nothing for an
    /// offset that is not above the applied one and for a change ID that is remembered: neither
    /// changes anything.
    std::optional<error> apply(const std::string& stream, const record& entry,
                               std::uint64_t offset);

    /// Passes over a record that can't be decoded.
    void skip(const std::string& stream, std::uint64_t offset);

    std::uint64_t applied_offset(const std::string& stream) const;

    /// Returns the control state; copies it when it changed since the last call, so call it once
    /// for each batch.
    std::shared_ptr<const cluster_state> publish();

    const claim_table& claims() const { return m_claims; }

    snapshot_data export_snapshot();

    /// Takes each stream's part when it is above the applied offset of that stream. Returns false
    /// when the control part was not.
    bool adopt(const snapshot_data& snapshot);

private:
    error apply_body(const record& entry, std::uint64_t offset);
    error apply_change(const declaration_change& change, const change_id& id, std::uint64_t offset);
    error check_change(const declaration_change& change, const change_id& id,
                       const declaration_path& path) const;
    error check_references(const declaration_path& path, const parsed_declaration& value) const;
    error check_move(const version_move& move) const;
    error check_deletion(const declaration_path& path) const;
    void declare(parsed_declaration value, std::uint64_t offset);
    void erase(const declaration_path& path);
    void withdraw_move(const service_id& service);
    error apply_grant(const lease_grant& grant, std::uint64_t offset);
    error apply_step(const move_step& step, std::uint64_t offset);
    error apply_outcome(const move_outcome& outcome, std::uint64_t offset);
    error apply_verdict(const version_verdict& verdict, std::uint64_t offset);
    std::shared_ptr<const version_move> open_move(const service_id& service,
                                                  const version_id& version) const;
    bool is_bad(const service_id& service, const version_id& version) const;

    state_machine_options m_options;
    cluster_state m_state;
    std::shared_ptr<const cluster_state> m_published;
    change_id_history m_control_changes;
    std::uint64_t m_claims_offset = 0;
    claim_table m_claims;
    change_id_history m_claims_changes;
};

} // namespace chivedeal::state

#endif
