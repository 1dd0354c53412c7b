#ifndef CHIVEDEAL_MEMBERSHIP_BAD_VERSION_HPP
#define CHIVEDEAL_MEMBERSHIP_BAD_VERSION_HPP

namespace chivedeal::state {
struct cluster_state;
struct endpoint_version;
} // namespace chivedeal::state

namespace chivedeal::membership {

struct membership_view;

/// Whether the log or a peer's fact says that this declaration of a version is bad. A verdict on
/// an earlier declaration of the same name does not count.
bool is_found_bad(const state::cluster_state& state, const membership_view& view,
                  const state::endpoint_version& version);

} // namespace chivedeal::membership

#endif
