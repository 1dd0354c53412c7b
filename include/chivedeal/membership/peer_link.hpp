#ifndef CHIVEDEAL_MEMBERSHIP_PEER_LINK_HPP
#define CHIVEDEAL_MEMBERSHIP_PEER_LINK_HPP

#include <memory>

namespace chivedeal::membership {

/// Where the RPC thread offers its event loop to other threads. Outlives restarts of the thread.
class peer_link
{
public:
    class impl;

    peer_link();
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    impl& get() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace chivedeal::membership

#endif
