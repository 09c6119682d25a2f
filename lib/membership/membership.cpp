/// \file
/// Forwards the public membership interface to its implementation.
#include "hawthornbeam/membership/membership.hpp"

#include "implementation.hpp"

namespace hawthornbeam
{

membership::membership(event_loop& loop, datagram_channel& channel, const logger& log,
                       options settings)
    : implementation_(
          std::make_unique<implementation>(loop, channel, log, std::move(settings)))
{
}

membership::~membership() = default;

void membership::start()
{
    implementation_->start();
}

void membership::announce_leaving()
{
    implementation_->announce_leaving();
}

void membership::set_table_version(table_version version)
{
    implementation_->set_table_version(version);
}

void membership::add_seeds(const std::vector<gossip_address>& seeds)
{
    implementation_->add_seeds(seeds);
}

const member& membership::self() const
{
    return implementation_->members().self();
}

std::vector<member> membership::members() const
{
    std::vector<member> list;
    for (const auto& [id, record] : implementation_->members().records())
        if (record.status != liveness::dead)
            list.push_back(record.info);
    return list;
}

std::vector<instance_id> membership::candidates() const
{
    std::vector<instance_id> list;
    for (const auto& [id, record] : implementation_->members().records())
        if (record.status != liveness::dead && !record.leaving)
            list.push_back(id);
    return list;
}

const member* membership::find(const instance_id& id) const
{
    const member_record* record = implementation_->members().find(id);
    return record == nullptr ? nullptr : &record->info;
}

void membership::on_change(std::function<void()> handler)
{
    implementation_->change_handler = std::move(handler);
}

void membership::on_newer_table(std::function<void(const member& from)> handler)
{
    implementation_->newer_table_handler = std::move(handler);
}

boot_time membership::last_contact() const
{
    return implementation_->last_contact;
}

std::uint64_t membership::malformed_datagrams() const
{
    return implementation_->malformed_datagrams;
}

} // namespace hawthornbeam
