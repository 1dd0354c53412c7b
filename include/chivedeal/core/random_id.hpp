#ifndef CHIVEDEAL_CORE_RANDOM_ID_HPP
#define CHIVEDEAL_CORE_RANDOM_ID_HPP

#include <string>

namespace chivedeal {

/// Returns 24 random hexadecimal digits, enough that two are never equal in practice.
std::string random_id();

} // namespace chivedeal

#endif
