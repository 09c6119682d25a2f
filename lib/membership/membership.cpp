/// \file
/// The public face of the membership protocol.
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
    return implementation_->table().self();
}

std::vector<member> membership::members() const
{
    std::vector<member> list;
    for (const auto& [id, record] : implementation_->table().records())
        if (record.claim != standing::dead)
            list.push_back(record.info);
    return list;
}

std::vector<instance_id> membership::candidates() const
{
    std::vector<instance_id> list;
    for (const auto& [id, record] : implementation_->table().records())
        if (record.claim != standing::dead && !record.leaving)
            list.push_back(id);
    return list;
}

const member* membership::find(const instance_id& id) const
{
    const member_record* record = implementation_->table().find(id);
    return record == nullptr ? nullptr : &record->info;
}

void membership::on_change(std::function<void()> handler)
{
    implementation_->change_handler = std::move(handler);
}

void membership::on_newer_table(std::function<void(const member& from)> handler)
{
    implementation_->table_handler = std::move(handler);
}

boot_time membership::last_contact() const
{
    return implementation_->last_contact;
}

std::uint64_t membership::malformed_datagrams() const
{
    return implementation_->malformed;
}

} // namespace hawthornbeam
