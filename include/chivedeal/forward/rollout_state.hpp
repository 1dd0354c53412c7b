#ifndef CHIVEDEAL_FORWARD_ROLLOUT_STATE_HPP
#define CHIVEDEAL_FORWARD_ROLLOUT_STATE_HPP

namespace chivedeal::forward {

enum class rollout_state
{
    running,
    done,
    rolled_back,
};

} // namespace chivedeal::forward

#endif
