#ifndef CHIVEDEAL_STATE_SIGNATURE_HPP
#define CHIVEDEAL_STATE_SIGNATURE_HPP

#include "chivedeal/core/id.hpp"

#include <string>

namespace chivedeal::state {

struct declaration_change;

/// Returns the hexadecimal HMAC-SHA256 of team, path, expected version, body and change ID. Each
/// part is preceded by its length, so that no two changes have the same signed bytes.
std::string sign_change(const declaration_change& change, const change_id& id,
                        const std::string& key);

/// Compares the change's signature in constant time.
bool verify_change(const declaration_change& change, const change_id& id, const std::string& key);

} // namespace chivedeal::state

#endif
