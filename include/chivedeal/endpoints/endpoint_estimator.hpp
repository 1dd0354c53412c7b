#ifndef CHIVEDEAL_ENDPOINTS_ENDPOINT_ESTIMATOR_HPP
#define CHIVEDEAL_ENDPOINTS_ENDPOINT_ESTIMATOR_HPP

#include "chivedeal/endpoints/latency_model.hpp"
#include "chivedeal/endpoints/load_reading.hpp"
#include "chivedeal/endpoints/sent_request.hpp"
#include "chivedeal/endpoints/service_model.hpp"

#include "absl/time/time.h"

#include <memory>

namespace chivedeal::endpoints {

/// Learns how fast one endpoint is, how its delay grows with load, and how many requests it takes
/// before it slows down.
///
/// The endpoints of a service share a `service_model` of what all their observations have in
/// common. Only the rest counts as a property of this endpoint, so a shift of all endpoints, as seen
/// by a node that is slow itself, doesn't change the choice between them.
class endpoint_estimator
{
public:
    /// Creates an estimator that shares `service` with the other endpoints of its service. Without
    /// it, the endpoint is alone in its service.
    explicit endpoint_estimator(std::shared_ptr<service_model> service = nullptr);

    /// Sets the number of requests that the endpoint runs concurrently.
    void set_slots(int slots);

    void on_sent();
    /// The response to a request started `elapsed` after the request was sent, link delay excluded.
    /// Must be called only for responses that were not errors: a fast failure says nothing about
    /// the speed.
    void on_first_byte(const sent_request& request, absl::Duration elapsed, absl::Time now);
    /// The response ended. Its duration isn't counted, as it depends on how fast the caller reads.
    void on_completed();
    /// The request failed, however fast.
    void on_failed();
    /// Applies the load that the endpoint reported. `known_requests` is the number of requests that
    /// this node knows of there, its own included.
    void on_load_header(const load_reading& reading, int known_requests, absl::Time now);
    /// A peer observed new responses of the endpoint, whose times were `pace` times those that the
    /// prior predicts.
    void on_peer_pace(double pace, absl::Time now);

    /// Time to the first byte of a request, without link delay and without the prompts that the
    /// endpoint reads before it.
    absl::Duration predict(double prompt_cost_tokens, int requests, absl::Time now) const;
    double predict_ms(double prompt_cost_tokens, int requests, absl::Time now) const;
    /// Number of requests beyond which the endpoint slows down.
    double concurrency_limit(absl::Time now) const;

    double prompt_tokens_per_ms(absl::Time now) const;
    /// Requests at the endpoint: those this node knows of, corrected by a recent report.
    int requests_in_flight(int known_requests, absl::Time now) const;
    int own_requests() const { return m_own_requests; }
    /// Times that this node observed recently, as a multiple of what the prior predicts; 0 if there
    /// are none.
    double observed_pace(absl::Time now) const;
    /// The same in whole percents, which take at most three bytes of a report.
    int observed_pace_percent(absl::Time now) const;

private:
    latency_model::vector features(double prompt_cost_tokens, int requests) const;
    latency_model::vector weights_at(absl::Time now) const;
    double pace_correction(absl::Time now) const;
    void observe(const latency_model::vector& request_features, double time, double noise_ratio,
                 absl::Time now);
    // `rest_ms` is the time to the first byte beyond the time to read the prompts.
    void adapt_limit(int requests, double rest_ms, absl::Time now);

    std::shared_ptr<service_model> m_service;
    latency_model m_own;
    int m_slots = 1;
    int m_own_requests = 0;

    // How far the concurrency limit is below that of the prior.
    double m_limit_reduction = 0;
    absl::Time m_limit_changed_at = absl::InfinitePast();
    absl::Time m_limit_fell_at = absl::InfinitePast();
    int m_consecutive_overloads = 0;
    // Shortest time beyond reading the prompt, in the current and the previous period.
    double m_fastest_ms = 0;
    double m_previous_fastest_ms = 0;
    absl::Time m_fastest_period_start = absl::InfinitePast();

    // Requests at the endpoint beyond the known ones, when it last reported its load.
    int m_unknown_requests = 0;
    absl::Time m_load_read_at = absl::InfinitePast();
    double m_pace = 1;
    double m_usual_pace = 1;
    absl::Time m_pace_read_at = absl::InfinitePast();

    double m_observed_pace = 0;
    absl::Time m_observed_at = absl::InfinitePast();
};

} // namespace chivedeal::endpoints

#endif
