#include "admission/admission_controller_builder.h"
#include "base/hash.h"
#include "base/random.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocation_count{0};

} // namespace

// Inlining would let the compiler pair free with the default operator new and warn.
[[gnu::noinline]] void* operator new(std::size_t size) {
    allocation_count.fetch_add(1, std::memory_order_relaxed);
    if (auto* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
    std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}

namespace cyclamenledge::decision_bench {

namespace {

constexpr std::uint64_t organisations = 14000;
constexpr std::uint64_t models = 5;
constexpr std::uint32_t running_streams = 256;
constexpr std::uint64_t first_new_stream = 1000000;

/// A controller at target size: all histograms filled and 256 streams running.
class loaded_controller {
public:
    explicit loaded_controller(std::uint64_t memory_tokens)
        : controller_(build(memory_tokens)) {
        for (std::uint64_t organisation = 0; organisation < organisations; ++organisation) {
            for (std::uint64_t model = 0; model < models; ++model) {
                for (int count = 0; count < 10; ++count)
                    controller_.predictor().observe(organisation, class_key_, model, length());
            }
        }
        for (std::uint32_t stream = 0; stream < running_streams; ++stream)
            controller_.adopt(request(stream), 1, now_);
    }

    admission::admission_request request(std::uint64_t stream) {
        return {.stream = stream,
                .organisation = random_.below(organisations),
                .service_class = class_key_,
                .model = random_.below(models),
                .prompt_tokens = 200,
                .maximum_output_tokens = 0};
    }
    std::uint32_t length() { return static_cast<std::uint32_t>(1 + random_.below(2000)); }
    base::time_point tick() { return now_ += std::chrono::microseconds{50}; }
    admission::admission_controller& controller() { return controller_; }

private:
    static admission::admission_controller build(std::uint64_t memory_tokens) {
        catalogue::service_class shape;
        shape.name = "kiosk";
        admission::admission_controller_builder builder;
        builder.limits({memory_tokens, 4096, 4096}).classes({shape});
        // The batch bound starts low; here the bound on memory decides.
        builder.disable_for_ablation(admission::mechanism::batch_bound);
        return builder.build(base::time_point{}).value();
    }

    std::uint64_t class_key_{base::hash_text("kiosk")};
    base::random_source random_{1};
    base::time_point now_{base::seconds{100}};
    admission::admission_controller controller_;
};

/// Counts allocations during the measured loop.
class allocation_counter {
public:
    explicit allocation_counter(benchmark::State& state)
        : state_(state)
        , before_(allocation_count.load()) {}
    allocation_counter(allocation_counter const&) = delete;
    allocation_counter& operator=(allocation_counter const&) = delete;
    ~allocation_counter() {
        auto const used = static_cast<double>(allocation_count.load() - before_);
        state_.counters["allocations"] = used / static_cast<double>(state_.iterations());
    }

private:
    benchmark::State& state_;
    std::uint64_t before_;
};

void offer_admit_and_end(benchmark::State& state) {
    loaded_controller loaded(1U << 30U);
    auto stream = first_new_stream;
    allocation_counter const counter(state);
    for (auto _ : state) {
        auto const request = loaded.request(++stream);
        benchmark::DoNotOptimize(loaded.controller().offer(request, loaded.tick()));
        loaded.controller().on_end(request.stream, admission::stream_end::cancelled, loaded.tick());
    }
}
BENCHMARK(offer_admit_and_end);

void offer_refuse(benchmark::State& state) {
    loaded_controller loaded(60000);
    auto stream = first_new_stream;
    // The queue is full after these offers.
    for (int count = 0; count < 100; ++count)
        loaded.controller().offer(loaded.request(++stream), loaded.tick());
    allocation_counter const counter(state);
    for (auto _ : state)
        benchmark::DoNotOptimize(loaded.controller().offer(loaded.request(++stream), loaded.tick()));
}
BENCHMARK(offer_refuse);

void on_token(benchmark::State& state) {
    loaded_controller loaded(1U << 30U);
    std::uint64_t stream = 0;
    allocation_counter const counter(state);
    for (auto _ : state)
        loaded.controller().on_token(++stream % running_streams, 1, loaded.tick());
}
BENCHMARK(on_token);

void complete_stream(benchmark::State& state) {
    loaded_controller loaded(1U << 30U);
    auto stream = first_new_stream;
    allocation_counter const counter(state);
    for (auto _ : state) {
        auto const request = loaded.request(++stream);
        loaded.controller().adopt(request, loaded.length(), loaded.tick());
        loaded.controller().on_end(request.stream, admission::stream_end::completed, loaded.tick());
    }
}
BENCHMARK(complete_stream);

void poll_full_queue(benchmark::State& state) {
    loaded_controller loaded(60000);
    auto stream = first_new_stream;
    for (int count = 0; count < 100; ++count)
        loaded.controller().offer(loaded.request(++stream), loaded.tick());
    auto const now = loaded.tick();
    allocation_counter const counter(state);
    for (auto _ : state)
        benchmark::DoNotOptimize(loaded.controller().poll(now));
}
BENCHMARK(poll_full_queue);

} // namespace

} // namespace cyclamenledge::decision_bench

BENCHMARK_MAIN();
