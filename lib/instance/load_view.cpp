/// \file
/// Collection of load summaries from other instances.
#include "lib/instance/load_view.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

constexpr duration status_deadline = std::chrono::seconds(1);

} // namespace

load_view::load_view(context& shared) : shared_(shared) {}

void load_view::start()
{
    timer_ = shared_.parts.loop.every(shared_.options.summary_period,
                                      [this]
                                      {
                                          forget_departed();
                                          request_summaries();
                                      });
}

void load_view::request_summaries()
{
    std::vector<member> others = shared_.parts.members.members();
    std::erase_if(others,
                  [&](const member& other) { return other.id == shared_.options.self; });
    if (others.empty())
        return;
    const std::size_t count =
        std::min(others.size(), shared_.options.summaries_per_period);
    const auto after_last =
        std::find_if(others.begin(), others.end(),
                     [&](const member& other) { return other.id > last_requested_; });
    std::rotate(others.begin(), after_last, others.end());
    for (std::size_t i = 0; i < count; ++i)
    {
        last_requested_ = others[i].id;
        shared_.parts.peers.call(
            others[i].peer, wire::status_request{}, status_deadline,
            shared_.guarded(
                [this, id = others[i].id](result<wire::reply> response)
                {
                    if (!response)
                        return;
                    wire::status_reply* status =
                        std::get_if<wire::status_reply>(&response.value());
                    if (status == nullptr)
                        return;
                    summaries_[id] = std::move(*status);
                    if (change_handler_)
                        change_handler_();
                }));
    }
}

const wire::status_reply* load_view::find(const instance_id& id) const
{
    const auto found = summaries_.find(id);
    return found == summaries_.end() ? nullptr : &found->second;
}

std::vector<policy::row_usage> load_view::remote_usage() const
{
    std::map<row_id, policy::row_usage> sums;
    for (const auto& [id, status] : summaries_)
    {
        if (id == shared_.options.self)
            continue;
        for (const wire::row_load& load : status.rows)
        {
            policy::row_usage& sum = sums[load.row];
            sum.row = load.row;
            sum.running += load.running;
            sum.tasks_running += load.tasks_running;
            sum.tasks_waiting += load.tasks_waiting;
        }
    }
    std::vector<policy::row_usage> usage;
    for (const auto& [row, sum] : sums)
        usage.push_back(sum);
    return usage;
}

void load_view::set_own(wire::status_reply status)
{
    summaries_[shared_.options.self] = std::move(status);
}

void load_view::forget_departed()
{
    std::erase_if(summaries_, [&](const auto& entry)
                  { return shared_.parts.members.find(entry.first) == nullptr; });
}

} // namespace hawthornbeam
