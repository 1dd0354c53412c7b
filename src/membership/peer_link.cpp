#include "chivedeal/membership/peer_link.hpp"

#include "peer_link_impl.hpp"

namespace chivedeal::membership {

peer_link::peer_link() : m_impl(std::make_unique<impl>()) {}
peer_link::~peer_link() = default;

} // namespace chivedeal::membership
