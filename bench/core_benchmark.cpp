#include "bench/core_benchmark.hpp"

#include "bench/report.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"

namespace chivedeal::bench {

void core_benchmark::run(report& out)
{
    constexpr int items = 1'000'000;
    const system_clock clock;
    bounded_ring<int> ring(1024);
    const absl::Time start = clock.now();
    {
        posix_thread producer("producer", [&] {
            for (int i = 0; i < items; ++i)
                (void)ring.push(i);
            ring.close();
        });
        while (ring.pop())
            continue;
    }
    out.add("core", "ring_item", "bounded_ring",
            absl::ToDoubleNanoseconds(clock.now() - start) / items, "ns");
}

} // namespace chivedeal::bench
