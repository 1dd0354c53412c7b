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

/// Applies log records to the cluster state. The result depends only on the records and their
/// offsets, so all nodes reach the same state.
///
///     state_machine machine({.team_keys = keys});
///     const auto effect = machine.apply(control_stream, entry, offset);
class state_machine
{
public:
    explicit state_machine(state_machine_options options);

    /// Applies a record. Returns `ok` if its preconditions held, else the reason it was rejected.
    /// Returns `nullopt` and leaves the state unchanged if the offset is not above the applied
    /// offset or the change ID is a duplicate.
    std::optional<error> apply(const std::string& stream, const record& entry,
                               std::uint64_t offset);

    /// Advances the applied offset past a record that can't be decoded.
    void skip(const std::string& stream, std::uint64_t offset);

    std::uint64_t applied_offset(const std::string& stream) const;

    /// Returns an immutable copy of the control state. Copies only if the state has changed since
    /// the last call; call it once per batch to limit the number of copies.
    std::shared_ptr<const cluster_state> publish();

    const claim_table& claims() const { return m_claims; }

    snapshot_data export_snapshot();

    /// Replaces the state by the snapshot. Returns false and changes nothing if the snapshot's
    /// control offset is not above the applied one. Claims are replaced only if the snapshot's
    /// claims offset is above the applied one.
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
                                                  const version_id& version,
                                                  std::uint64_t move_offset) const;
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
