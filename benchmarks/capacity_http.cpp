/// \file
/// Measures the HTTP bindings. The stand-ins run in separate processes, so that the
/// processor time of this process is that of the bindings alone.
#include "benchmarks/capacity_http.hpp"

#include "benchmarks/linear_fit.hpp"
#include "hawthornbeam/platform/http_host_list.hpp"
#include "hawthornbeam/platform/http_worker_gateway.hpp"
#include "test/standins/platform_server.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <deque>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hawthornbeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t max_workers = 200;
constexpr int measured_seconds = 4;

host_entry make_host(std::size_t index)
{
    host_entry host;
    host.id = worker_id(fmt::format("worker-{:06}", index));
    host.address = worker_address(
        fmt::format("10.{}.{}.{}:7100", index / 62500, index / 250 % 250, index % 250));
    host.failure_domain = failure_domain_id(fmt::format("domain-{}", index % 18 + 1));
    host.rack = rack_id(fmt::format("rack-{}", index / 8));
    host.capacity = resources{millicores(64000), byte_count(std::int64_t{256} << 30),
                              accelerator_count(2)};
    return host;
}

/// Runs a platform server in a child process, which the destructor ends.
class platform_process
{
public:
    platform_process(std::size_t workers, std::size_t hosts) : host_count(hosts)
    {
        int ends[2] = {0, 0};
        if (pipe(ends) != 0)
            std::abort();
        process_ = fork();
        if (process_ == 0)
            serve(ends[1], workers, hosts);
        close(ends[1]);
        std::string text;
        char buffer[4096];
        for (ssize_t length = read(ends[0], buffer, sizeof buffer); length > 0;
             length = read(ends[0], buffer, sizeof buffer))
            text.append(buffer, static_cast<std::size_t>(length));
        close(ends[0]);
        std::istringstream lines(text);
        lines >> hosts_url;
        for (std::string address; lines >> address;)
            addresses.emplace_back(address);
    }
    ~platform_process()
    {
        kill(process_, SIGTERM);
        waitpid(process_, nullptr, 0);
    }
    platform_process(const platform_process&) = delete;
    platform_process& operator=(const platform_process&) = delete;

    std::size_t host_count;
    std::string hosts_url;
    std::vector<worker_address> addresses;

private:
    [[noreturn]] static void serve(int out, std::size_t workers, std::size_t host_count)
    {
        prctl(PR_SET_PDEATHSIG, SIGTERM); // Ends the child also when this program aborts.
        glib_event_loop loop;
        standins::platform_options options;
        options.workers = workers;
        standins::platform_server server(loop, options);
        for (std::size_t index = 0; index < host_count; ++index)
            server.hosts().set(make_host(index));
        server.hosts().show_all();
        std::string text = server.hosts_url() + "\n";
        for (std::size_t index = 0; index < workers; ++index)
            text += server.address_of(index).value() + "\n";
        if (write(out, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
            std::abort();
        close(out);
        loop.run();
        std::_Exit(0);
    }

    pid_t process_ = 0;
};

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto value = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return value(usage.ru_utime) + value(usage.ru_stime);
}

/// Holds the leases of workers and makes the HTTP calls of a slice owner.
class lease_owner
{
public:
    lease_owner(const std::vector<worker_address>& addresses, std::size_t count)
        : gateway_(loop, log)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            owned_.push_back({addresses[index], generation(), 0});
            owned_worker& worker = owned_.back();
            gateway_.acquire(worker.address, instance_id("capacity"),
                             [this, &worker](const result<lease_grant>& grant)
                             {
                                 if (!grant)
                                     return fail();
                                 worker.lease_generation = grant.value().granted;
                                 wait_for_events(worker);
                             });
        }
        run_for(seconds(2));
    }
    ~lease_owner()
    {
        closing_ = true;
        for (const owned_worker& worker : owned_)
            gateway_.release(worker.address, worker.lease_generation,
                             [](const result<bool>&) {});
        run_for(seconds(2));
    }
    lease_owner(const lease_owner&) = delete;
    lease_owner& operator=(const lease_owner&) = delete;

    void run_for(duration time)
    {
        const timer_handle end = loop.after(time, [this] { loop.quit(); });
        loop.run();
    }
    /// Starts one task on the next worker, round robin.
    void start(duration run_time)
    {
        owned_worker& worker = owned_[started_ % owned_.size()];
        task_start task;
        task.id = task_id{
            job_id(static_cast<std::uint64_t>(getpid()) + job_id_prefix_, started_++), 0,
            0};
        task.row = row_id("partner/batch");
        task.size = resources{millicores(100), byte_count(1 << 20), accelerator_count(0)};
        task.declared_run_time = run_time;
        task.job_owner = instance_id("capacity");
        task.payload = std::string(200, 'x');
        gateway_.start(worker.address, worker.lease_generation, {task},
                       [this](const result<std::vector<start_outcome>>& outcomes)
                       {
                           if (!outcomes || !outcomes.value().front().accepted)
                               fail();
                       });
    }
    std::size_t failures() const { return failures_; }
    std::size_t ended() const { return ended_; }
    std::size_t event_calls() const { return event_calls_; }

    glib_event_loop loop;
    logger log{loop.clock(), "capacity", log_level::error};

private:
    struct owned_worker
    {
        worker_address address;
        generation lease_generation;
        std::uint64_t last_event = 0;
    };

    void fail() { ++failures_; }
    void wait_for_events(owned_worker& worker)
    {
        if (closing_)
            return;
        ++event_calls_;
        gateway_.events(worker.address, worker.lease_generation, worker.last_event,
                        milliseconds(1300),
                        [this, &worker](const result<worker_events>& events)
                        {
                            if (!events)
                                return closing_ ? void() : fail();
                            worker.last_event = events.value().seen;
                            acknowledge(worker, events.value().tasks);
                            wait_for_events(worker);
                        });
    }
    void acknowledge(const owned_worker& worker, const std::vector<task_report>& tasks)
    {
        std::vector<task_id> ids;
        for (const task_report& task : tasks)
            if (task.state != task_state::running)
                ids.push_back(task.id);
        ended_ += ids.size();
        if (!ids.empty())
            gateway_.acknowledge(worker.address, worker.lease_generation, ids,
                                 [](const result<bool>&) {});
    }

    http_worker_gateway gateway_;
    std::deque<owned_worker> owned_;
    std::uint64_t started_ = 0;
    std::uint64_t job_id_prefix_ = static_cast<std::uint64_t>(
        std::chrono::steady_clock::now().time_since_epoch().count());
    std::size_t failures_ = 0;
    std::size_t ended_ = 0;
    std::size_t event_calls_ = 0;
    bool closing_ = false;
};

double measured_ms_per_second(lease_owner& owner)
{
    const double begin = processor_seconds();
    owner.run_for(seconds(measured_seconds));
    return (processor_seconds() - begin) * 1e3 / measured_seconds;
}

void measure_leases(const platform_process& platform)
{
    std::vector<measured_point> points;
    std::size_t failures = 0;
    for (const std::size_t count : {50, 100, 200})
    {
        lease_owner owner(platform.addresses, count);
        points.push_back({static_cast<double>(count), measured_ms_per_second(owner)});
        failures += owner.failures();
    }
    print_fit(
        fmt::format("ms/s by workers: event calls of 1.3 s, failed calls {}", failures),
        points);
}

void measure_starts(const platform_process& platform)
{
    std::vector<measured_point> points;
    std::vector<measured_point> events;
    std::size_t failures = 0;
    for (const int rate : {0, 50, 150, 300})
    {
        lease_owner owner(platform.addresses, 100);
        const timer_handle tick =
            owner.loop.every(milliseconds(20),
                             [&]
                             {
                                 for (int number = 0; number < rate / 50; ++number)
                                     owner.start(milliseconds(300));
                             });
        const double size = rate;
        const std::size_t begin = owner.event_calls();
        points.push_back({size, measured_ms_per_second(owner)});
        events.push_back(
            {size, static_cast<double>(owner.event_calls() - begin) / measured_seconds});
        failures += owner.failures();
    }
    print_fit(fmt::format("ms/s by starts/s: start, end event, acknowledgement, 100 "
                          "workers, failed calls {}",
                          failures),
              points);
    print_fit("event calls/s by starts/s, the same run", events);
}

/// The tasks run until the platform process ends, so each step starts only the missing
/// ones.
void measure_running(const platform_process& platform)
{
    std::vector<measured_point> points;
    lease_owner owner(platform.addresses, 100);
    std::size_t running = 0;
    for (const std::size_t count : {0, 500, 1000, 2000})
    {
        for (; running < count; ++running)
        {
            owner.start(std::chrono::hours(1));
            if (running % 20 == 0)
                owner.run_for(milliseconds(20));
        }
        owner.run_for(seconds(2));
        points.push_back({static_cast<double>(count), measured_ms_per_second(owner)});
    }
    print_fit(fmt::format("ms/s by running tasks: usage reports every 2 s, 100 workers, "
                          "failed calls {}",
                          owner.failures()),
              points);
}

void measure_host_list(const std::vector<std::unique_ptr<platform_process>>& platforms)
{
    std::vector<measured_point> processor;
    std::vector<measured_point> memory;
    for (const std::unique_ptr<platform_process>& platform : platforms)
    {
        glib_event_loop loop;
        const logger log(loop.clock(), "capacity", log_level::error);
        http_host_list hosts(loop, log, platform->hosts_url, seconds(20));
        std::size_t size = 0;
        constexpr int polls = 5;
        const double begin = processor_seconds();
        for (int poll = 0; poll < polls; ++poll)
        {
            hosts.list(
                [&](const result<std::vector<host_entry>>& list)
                {
                    size = list ? list.value().size() : 0;
                    loop.quit();
                });
            loop.run();
        }
        processor.push_back(
            {static_cast<double>(size), (processor_seconds() - begin) * 1e3 / polls});
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        memory.push_back(
            {static_cast<double>(size), static_cast<double>(usage.ru_maxrss)});
    }
    print_fit("ms of one poll of the host list by hosts", processor);
    print_fit("KiB of peak resident memory of the process by hosts", memory);
}

/// Bytes of one HTTP request and its response, with HTTP headers but without TCP headers.
struct exchange_size
{
    std::size_t sent = 0;
    std::size_t received = 0;
    std::string response;
};

exchange_size exchange_bytes(const std::string& address, const std::string& line,
                             const std::string& body)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port =
        htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int stream = socket(AF_INET, SOCK_STREAM, 0);
    const std::string text = fmt::format(
        "{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nConnection: "
        "close\r\nContent-Length: {}\r\n\r\n{}",
        line, address, body.size(), body);
    exchange_size size;
    if (connect(stream, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 ||
        write(stream, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        std::abort();
    size.sent = text.size();
    std::vector<char> buffer(std::size_t{1} << 16U);
    for (ssize_t length = read(stream, buffer.data(), buffer.size()); length > 0;
         length = read(stream, buffer.data(), buffer.size()))
        size.response.append(buffer.data(), static_cast<std::size_t>(length));
    close(stream);
    size.received = size.response.size();
    return size;
}

void measure_host_list_bytes(
    const std::vector<std::unique_ptr<platform_process>>& platforms)
{
    std::vector<measured_point> points;
    for (const std::unique_ptr<platform_process>& platform : platforms)
    {
        const std::string address = platform->hosts_url.substr(7);
        const exchange_size size = exchange_bytes(address, "GET /hosts", "");
        points.push_back({static_cast<double>(platform->host_count),
                          static_cast<double>(size.received)});
    }
    print_fit("bytes of one answer of the host list by hosts", points);
}

/// Measures the response to an event call of one worker with 0, 5, 10 and 20 running
/// tasks with payloads of 200 bytes.
void measure_worker_bytes(const platform_process& platform)
{
    const std::string address = platform.addresses.back().value();
    exchange_bytes(address, "POST /lease/acquire", R"({"owner":"entry-1"})");
    std::vector<measured_point> answers;
    exchange_size start;
    exchange_size idle;
    std::size_t running = 0;
    for (const std::size_t count : {0, 5, 10, 20})
    {
        for (; running < count; ++running)
            start = exchange_bytes(
                address, "POST /start",
                fmt::format(
                    R"({{"generation":1,"tasks":[{{"id":"{:032x}-0-0","row":)"
                    R"("partner/batch","size":{{"millicores":100,"memory":1048576,)"
                    R"("accelerators":0}},"declared_run_ms":3600000,)"
                    R"("idempotent":true,"job_owner":"entry-1","payload":"{}"}}]}})",
                    running + 1, std::string(268, 'A')));
        usleep(2200000); // The stand-in reports usage every 2 s.
        const exchange_size events = exchange_bytes(
            address, "POST /events", R"({"generation":1,"after":0,"wait_ms":0})");
        if (count == 0)
            idle = events;
        answers.push_back(
            {static_cast<double>(count), static_cast<double>(events.received)});
    }
    print_fit(fmt::format("bytes of one answer to an event call by running tasks "
                          "(request {} bytes; start {} sent, {} received)",
                          idle.sent, start.sent, start.received),
              answers);
    if (start.response.find("\"accepted\":true") == std::string::npos)
    {
        fmt::print("the stand-in refused a start: {}\n", start.response);
        std::exit(1);
    }
    exchange_bytes(address, "POST /lease/release", R"({"generation":1})");
}

} // namespace

void measure_http()
{
    std::fflush(nullptr);
    const platform_process platform(max_workers, 0);
    std::vector<std::unique_ptr<platform_process>> lists;
    for (const std::size_t host_count : {1000, 5000, 29000})
        lists.push_back(std::make_unique<platform_process>(0, host_count));
    fmt::print("\nHTTP bindings over loopback, processor time of the caller alone\n\n"
               "| cost | size:cost | slope | intercept | largest residual |\n"
               "|---|---|---|---|---|\n");
    measure_worker_bytes(platform); // Has to run first: it assumes lease generation 1.
    measure_host_list_bytes(lists);
    measure_leases(platform);
    measure_starts(platform);
    measure_running(platform);
    measure_host_list(lists);
    std::fflush(nullptr);
}

} // namespace hawthornbeam
