#ifndef CHIVEDEAL_CONTROL_SAMPLE_SINK_HPP
#define CHIVEDEAL_CONTROL_SAMPLE_SINK_HPP

namespace chivedeal::control {

struct attempt_sample;

/// Receives the outcomes of finished attempts. Never blocks; a sample is dropped when the ring is
/// full.
class sample_sink
{
public:
    virtual ~sample_sink() = default;

    virtual void add_sample(const attempt_sample& sample) = 0;
};

} // namespace chivedeal::control

#endif
