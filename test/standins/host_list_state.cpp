#include "test/standins/host_list_state.hpp"

namespace hawthornbeam::standins
{

void host_list_state::set(host_entry host)
{
    const worker_id id = host.id;
    current_[id] = host;
    add_change(id, std::move(host));
}

void host_list_state::set_leaving(const worker_id& id, bool leaving)
{
    const std::map<worker_id, host_entry>::iterator found = current_.find(id);
    if (found == current_.end())
        return;
    found->second.leaving = leaving;
    add_change(id, found->second);
}

void host_list_state::remove(const worker_id& id)
{
    if (current_.erase(id) > 0)
        add_change(id, std::nullopt);
}

void host_list_state::add_change(const worker_id& id, std::optional<host_entry> host)
{
    pending_.push_back(change{clock_.now() + lag_, id, std::move(host)});
}

void host_list_state::show_oldest()
{
    change oldest = std::move(pending_.front());
    pending_.pop_front();
    if (oldest.host)
        shown_[oldest.id] = std::move(*oldest.host);
    else
        shown_.erase(oldest.id);
}

void host_list_state::show_all()
{
    while (!pending_.empty())
        show_oldest();
}

std::vector<host_entry> host_list_state::shown()
{
    while (!pending_.empty() && pending_.front().visible_at <= clock_.now())
        show_oldest();
    std::vector<host_entry> hosts;
    hosts.reserve(shown_.size());
    for (const std::pair<const worker_id, host_entry>& host : shown_)
        hosts.push_back(host.second);
    return hosts;
}

} // namespace hawthornbeam::standins
