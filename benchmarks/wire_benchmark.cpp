/// \file
/// Measures the encoding and decoding of the most frequent messages between instances.
#include "hawthornbeam/wire/messages.hpp"

#include <benchmark/benchmark.h>

namespace hawthornbeam::wire
{
namespace
{

request make_start_request(std::int64_t tasks)
{
    start_request message;
    message.partition = partition_id(17);
    message.owner_epoch = epoch(4);
    message.job_owner = instance_id("entry-3");
    message.row = row_id("partner-1/batch");
    for (std::int64_t i = 0; i < tasks; ++i)
    {
        task_start task;
        task.id = task_id{job_id(1, 2), static_cast<std::uint32_t>(i), 0};
        task.row = message.row;
        task.size = resources{millicores(2000), byte_count(4LL << 30), {}};
        task.job_owner = message.job_owner;
        task.payload.assign(200, 'x');
        message.tasks.push_back(task);
    }
    return message;
}

reply make_status_reply()
{
    status_reply message;
    message.id = instance_id("entry-3");
    message.failure_domain = failure_domain_id("domain-1");
    for (int i = 0; i < 7; ++i)
        message.slices.emplace_back("domain-1/rack-" + std::to_string(i));
    for (std::uint16_t i = 0; i < 8; ++i)
        message.partitions.emplace_back(i);
    for (int i = 0; i < 83; ++i)
        message.rows.push_back(
            row_load{row_id("partner-" + std::to_string(i) + "/batch"), {}, 3, 4});
    return message;
}

void encode_start_request(benchmark::State& state)
{
    const request message = make_start_request(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(encode(message));
    state.counters["bytes"] = static_cast<double>(encode(message).size());
}
BENCHMARK(encode_start_request)->Arg(1)->Arg(10)->Arg(100);

void decode_start_request(benchmark::State& state)
{
    const std::string bytes = encode(make_start_request(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(decode_request(bytes));
}
BENCHMARK(decode_start_request)->Arg(1)->Arg(10)->Arg(100);

void encode_status_reply(benchmark::State& state)
{
    const reply message = make_status_reply();
    for (auto _ : state)
        benchmark::DoNotOptimize(encode(message));
    state.counters["bytes"] = static_cast<double>(encode(message).size());
}
BENCHMARK(encode_status_reply);

void decode_status_reply(benchmark::State& state)
{
    const std::string bytes = encode(make_status_reply());
    for (auto _ : state)
        benchmark::DoNotOptimize(decode_reply(bytes));
}
BENCHMARK(decode_status_reply);

} // namespace
} // namespace hawthornbeam::wire
