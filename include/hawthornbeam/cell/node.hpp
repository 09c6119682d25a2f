/// \file
/// One instance of a cell: its receiver, its agent and, while it holds the claim, the
/// owner.
#ifndef HAWTHORNBEAM_CELL_NODE_HPP
#define HAWTHORNBEAM_CELL_NODE_HPP

#include "hawthornbeam/cell/owner.hpp"
#include "hawthornbeam/cell/ports.hpp"
#include "hawthornbeam/cell/receiver.hpp"
#include "hawthornbeam/support/random_source.hpp"
#include "hawthornbeam/wire/peer_network.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Dependencies and settings of an instance.
struct node_parts
{
    event_loop& loop;
    cell_store& store;
    worker_port& workers;
    worker_directory& directory;
    wire::peer_network& network;
    random_source& random;
    const logger& log;
    metrics_registry& metrics;
    instance_id self;
    endpoint address;           ///< Where other instances call this one.
    std::uint32_t share = 1000; ///< Processor share of the host, in thousandths.
    scheduler_limits limits;
};

/// Connects the receiver, agent and owner of this instance with those of the others.
class node
{
public:
    explicit node(const node_parts& parts);
    ~node();

    void start();
    void configure(const std::vector<queue_policy>& queues);
    receiver& requests();
    /// Number of waiting jobs of \p queue that the owner sent last; empty when that count
    /// is out of date.
    std::optional<std::uint64_t> waiting(const queue_name& queue) const;
    /// Time after which a caller whose request was refused should retry.
    std::chrono::seconds retry_after() const;
    /// Hands the cell over if this instance owns it, then calls \p done.
    void leave(std::function<void()> done);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
