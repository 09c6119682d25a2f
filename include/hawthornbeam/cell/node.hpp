/// \file
/// One instance of a cell: receiver, agent and, under a claim, owner.
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

/// What an instance uses and how it is set up.
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
    endpoint address;           ///< Of the inner protocol.
    std::uint32_t share = 1000; ///< Processor share of the host, in thousandths.
    scheduler_limits limits;
};

/// Connects the parts of an instance with those of others.
class node
{
public:
    explicit node(const node_parts& parts);
    ~node();

    void start();
    void configure(const std::vector<queue_policy>& queues);
    receiver& requests();
    /// Jobs of \p queue that wait, as the owner counted them; empty when the count is too
    /// old.
    std::optional<std::uint64_t> waiting(const queue_name& queue) const;
    /// When a caller that was refused should come back.
    std::chrono::seconds retry_after() const;
    /// Hands over what this instance owns, then calls \p done.
    void leave(std::function<void()> done);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
