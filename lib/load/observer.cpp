/// \file
/// Implementation of load_observer: samples the cluster during a load run.
#include "hawthornbeam/load/account.hpp"

#include "hawthornbeam/metrics/metrics.hpp"

#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr duration sample_period = std::chrono::seconds(1);
constexpr duration request_timeout = std::chrono::seconds(3);
constexpr const char* wait_metric = "hawthornbeam_wait_seconds";

double seconds_of(duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// Returns the value of the label "row"; empty when it is missing.
std::string row_of(const metric_labels& labels)
{
    for (const std::pair<std::string, std::string>& label : labels)
        if (label.first == "row")
            return label.second;
    return std::string();
}

} // namespace

class load_observer::implementation
    : public std::enable_shared_from_this<load_observer::implementation>
{
public:
    implementation(event_loop& loop, load_transport& transport,
                   std::vector<std::string> instances, std::string control)
        : loop_(loop), transport_(transport), instances_(std::move(instances)),
          control_address_(std::move(control))
    {
    }

    void start()
    {
        read_traffic(initial_traffic_, [] {});
        timer_ = loop_.every(sample_period, [this] { sample(); });
    }
    void finish(std::function<void()> done);
    const load_observations& seen() const { return observations_; }

private:
    void fetch(const std::string& address, const char* path,
               std::function<void(const std::string* body)> read);
    void sample();
    void read_workers(const std::string& body);
    void read_shares(const std::string& body);
    void read_waits(std::size_t instance, std::function<void()> done);
    void read_traffic(std::map<std::string, load_observations::traffic>& target,
                      std::function<void()> done);

    event_loop& loop_;
    load_transport& transport_;
    std::vector<std::string> instances_;
    std::string control_address_;
    timer_handle timer_;
    std::size_t next_instance_index_ = 0;
    metrics_registry merged_;
    load_observations observations_;
    std::map<std::string, load_observations::traffic> initial_traffic_;
    std::map<std::string, load_observations::traffic> final_traffic_;
};

void load_observer::implementation::fetch(
    const std::string& address, const char* path,
    std::function<void(const std::string* body)> read)
{
    const std::weak_ptr<implementation> self = weak_from_this();
    transport_.send(load_request{address, "GET", path, "", request_timeout},
                    [self, read = std::move(read)](const result<load_reply>& reply)
                    {
                        if (self.expired())
                            return;
                        const bool succeeded = reply && reply.value().status == 200;
                        read(succeeded ? &reply.value().body : nullptr);
                    });
}

void load_observer::implementation::sample()
{
    const std::string& address = instances_[next_instance_index_++ % instances_.size()];
    fetch(address, "/v1/workers",
          [this](const std::string* body)
          {
              if (body != nullptr)
                  read_workers(*body);
          });
    fetch(address, "/v1/metrics/snapshot",
          [this](const std::string* body)
          {
              if (body != nullptr)
                  read_shares(*body);
          });
}

void load_observer::implementation::read_workers(const std::string& body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("workers"))
        return;
    double all = 0;
    double occupied = 0;
    double used = 0;
    for (const json& worker : document["workers"])
    {
        const double capacity = worker.at("capacity").at("processors").get<double>();
        const double free = worker.at("free").at("processors").get<double>();
        all += capacity;
        used += capacity - free;
        if (worker.at("tasks").get<std::uint64_t>() > 0)
            occupied += capacity;
    }
    if (all <= 0)
        return;
    ++observations_.packing_samples;
    observations_.used_of_all += used / all;
    observations_.used_of_occupied += occupied > 0 ? used / occupied : 0;
}

void load_observer::implementation::read_shares(const std::string& body)
{
    metrics_registry metrics;
    if (!metrics.merge(body))
        return;
    ++observations_.share_samples;
    for (const metric_labels& labels : metrics.label_sets("hawthornbeam_row_share"))
    {
        load_observations::row& row = observations_.rows[row_of(labels)];
        row.share_sum += metrics.gauge("hawthornbeam_row_share", labels);
        row.promised = metrics.gauge("hawthornbeam_row_guaranteed", labels);
    }
}

void load_observer::implementation::finish(std::function<void()> done)
{
    timer_.reset();
    read_waits(0,
               [this, done = std::move(done)]
               {
                   for (const metric_labels& labels : merged_.label_sets(wait_metric))
                   {
                       load_observations::row& row = observations_.rows[row_of(labels)];
                       row.wait_p50_seconds =
                           seconds_of(merged_.quantile(wait_metric, labels, 0.5));
                       row.wait_p99_seconds =
                           seconds_of(merged_.quantile(wait_metric, labels, 0.99));
                   }
                   read_traffic(final_traffic_,
                                [this, done]
                                {
                                    for (const auto& [name, traffic] : final_traffic_)
                                        observations_.platform[name] = {
                                            traffic.calls - initial_traffic_[name].calls,
                                            traffic.bytes - initial_traffic_[name].bytes};
                                    done();
                                });
               });
}

void load_observer::implementation::read_waits(std::size_t instance,
                                               std::function<void()> done)
{
    if (instance == instances_.size())
        return done();
    fetch(instances_[instance], "/v1/metrics/snapshot",
          [this, instance, done = std::move(done)](const std::string* body)
          {
              if (body != nullptr)
                  static_cast<void>(merged_.merge(*body));
              read_waits(instance + 1, done);
          });
}

void load_observer::implementation::read_traffic(
    std::map<std::string, load_observations::traffic>& target, std::function<void()> done)
{
    if (control_address_.empty())
        return done();
    fetch(control_address_, "/calls",
          [&target, done = std::move(done)](const std::string* body)
          {
              const json document =
                  body == nullptr ? json() : json::parse(*body, nullptr, false);
              if (document.is_object())
                  for (const auto& [name, traffic] : document.items())
                      target[name] = {traffic.value("calls", std::uint64_t{0}),
                                      traffic.value("bytes", std::uint64_t{0})};
              done();
          });
}

load_observer::load_observer(event_loop& loop, load_transport& transport,
                             std::vector<std::string> instances, std::string control)
    : implementation_(std::make_shared<implementation>(
          loop, transport, std::move(instances), std::move(control)))
{
}

load_observer::~load_observer() = default;

void load_observer::start()
{
    implementation_->start();
}

void load_observer::finish(std::function<void()> done)
{
    implementation_->finish(std::move(done));
}

const load_observations& load_observer::seen() const
{
    return implementation_->seen();
}

} // namespace hawthornbeam
