#ifndef CHIVEDEAL_ENDPOINTS_SERVICE_MODEL_HPP
#define CHIVEDEAL_ENDPOINTS_SERVICE_MODEL_HPP

#include "chivedeal/endpoints/latency_model.hpp"

namespace chivedeal::endpoints {

/// What the endpoints of a service have in common.
struct service_model
{
    /// All endpoints together are observed more often than one, and change less.
    latency_model latency{{.memory = absl::Seconds(30)}};
    /// Number of endpoints that share this model.
    int endpoints = 1;
};

} // namespace chivedeal::endpoints

#endif
