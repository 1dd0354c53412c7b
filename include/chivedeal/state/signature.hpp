#ifndef CHIVEDEAL_STATE_SIGNATURE_HPP
#define CHIVEDEAL_STATE_SIGNATURE_HPP

#include "chivedeal/core/id.hpp"

#include <string>

namespace chivedeal::state {

struct declaration_change;

/// Returns the hexadecimal HMAC-SHA256 of team, path, expected version, body and change ID. Each
/// part is preceded by its length, so that different changes never have the same signed bytes.
std::string sign_change(const declaration_change& change, const change_id& id,
                        const std::string& key);

/// Checks the change's signature with a constant-time comparison.
bool verify_change(const declaration_change& change, const change_id& id, const std::string& key);

} // namespace chivedeal::state

#endif
