#ifndef CHIVEDEAL_CONTROL_LOAD_SINK_HPP
#define CHIVEDEAL_CONTROL_LOAD_SINK_HPP

namespace chivedeal::control {

struct load_sample;

/// Receives the load that endpoints report. Never blocks: if the ring is full, the sample is
/// dropped and the next report replaces it.
class load_sink
{
public:
    virtual ~load_sink() = default;

    virtual void add_load(const load_sample& sample) = 0;
};

} // namespace chivedeal::control

#endif
