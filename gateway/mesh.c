#include "mesh.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "../io/address.h"
#include "../io/peers.h"
#include "clock.h"

#define UNREACHABLE_MAX_MS 30000      /* a host or seed that is unreachable for longer counts as stopped */
#define FLEET_UPDATE_INTERVAL_MS 1000 /* while hosts are unreachable */
#define HOSTS_MAX 1024
#define HALL_ADDRESSES_MIN 2 /* with fewer in the caller's hall, hosts of all halls are returned */
#define PROBE_INTERVAL_MS 250
#define PROBE_TIMEOUT_MS 100
#define SUSPECT_TIMEOUT_MS 700
#define FLEET_SET_SEED 0x666c656574U
#define CONVERGENCE_MS_PER_HOST 10 /* time without a join after which a starting fleet has converged, for each host */
#define CONVERGENCE_MAX_MS 1000    /* upper bound of that time, whatever the number of hosts: a few gossip rounds */
/* Between probes of seeds and dead hosts; short, so that a restarted fleet converges soon. */
#define RETRY_INTERVAL_MS 250

struct mesh_t {
    mesh_desc_t desc;
    uint64_t host, cluster;
    cw_peers_t* peers;
    cw_members_t* members;
    uint64_t fleet_set;            /* of mesh_fleet_set; 0: not computed yet */
    uint64_t fleet_set_changes;    /* value of cw_members_change_count then */
    uint64_t seen_changes;         /* value of cw_members_change_count that update_members handled last */
    uint64_t fleet_ids[HOSTS_MAX]; /* hosts that are alive and not leaving */
    uint32_t max_known;            /* most hosts that were known at once */
    uint32_t rank;                 /* of this host among those that are alive */
    reporter_t* reporter;
    uint32_t live;        /* hosts that are alive */
    uint32_t unreachable; /* hosts that may be partitioned off, as of the last update_fleet */
    int64_t fleet_updated_ms;
    int64_t last_join_ms; /* when max_known last rose */
    int64_t seeds_ms;     /* when the settings last named seeds */
};

static uint16_t port_of(const char* address) {
    struct sockaddr_in addr;
    return cw_addr_parse(address, &addr, NULL) == CW_OK ? ntohs(addr.sin_port) : 0;
}

/* Parses the address and replaces its port. */
static bool parse_with_port(const char* address, uint16_t port, struct sockaddr_in* out) {
    if (cw_addr_parse(address, out, NULL) != CW_OK) {
        return false;
    }
    out->sin_port = htons(port);
    return true;
}

/* -- members -------------------------------------------------------------- */

static bool is_alive(const cw_member_t* member) {
    return member->info.state == CW_MEMBER_ALIVE;
}

static void send_gossip(mesh_t* m) {
    cw_gossip_out_t out;
    while (cw_members_next(m->members, &out)) {
        cw_peers_send_gossip(m->peers, out.to, &out.message);
    }
}

/* Rank of this host among those that are alive. All hosts use the same order. */
static uint32_t own_rank(const mesh_t* m) {
    uint32_t rank = 0;
    const cw_member_info_t* self = &cw_members_at(m->members, 0)->info;
    for (uint32_t i = 1; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        rank += is_alive(member) && !member->info.leaving && cw_relay_ranks_before(&member->info, self);
    }
    return rank;
}

/* Number of hosts that have run longer than this one. */
static uint32_t count_older_hosts(const mesh_t* m) {
    uint32_t older = 0;
    const cw_member_info_t* self = &cw_members_at(m->members, 0)->info;
    for (uint32_t i = 1; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        const cw_member_info_t* info = &member->info;
        bool is_older =
            info->incarnation != self->incarnation ? info->incarnation < self->incarnation : info->id < self->id;
        older += is_alive(member) && !info->leaving && is_older;
    }
    return older;
}

/* Whether an unreachable host may be partitioned off and still running: it didn't leave as planned, and its machine
   didn't refuse a connection, which would show that the process ended. */
static bool may_be_partitioned(const cw_member_t* member, int64_t now_ms) {
    return !is_alive(member) && !member->info.leaving && !member->has_refused_connection &&
           now_ms - member->info_changed_ms < UNREACHABLE_MAX_MS;
}

/* Passes the fleet to the upstreams. Hosts that are leaving send no new requests, so they are not part of it. */
static void update_fleet(mesh_t* m, int64_t now_ms) {
    cw_relay_plan_t plan = cw_relay_plan(m->live);
    cw_fleet_t fleet = {.ids = m->fleet_ids,
                        .propagation_ms = plan.propagation_ms,
                        .direct_propagation_ms = plan.direct_propagation_ms};
    for (uint32_t i = 0; i < cw_members_count(m->members) && fleet.count < HOSTS_MAX; i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        if (is_alive(member) && !member->info.leaving) {
            m->fleet_ids[fleet.count++] = member->info.id;
        }
        fleet.missing += may_be_partitioned(member, now_ms);
    }
    /* This host may know only itself while others run: until its seeds have answered they count as unreachable. */
    fleet.missing += now_ms - m->seeds_ms < UNREACHABLE_MAX_MS ? cw_members_count_silent_seeds(m->members) : 0;
    m->unreachable = fleet.missing;
    m->fleet_updated_ms = now_ms;
    upstreams_set_fleet(m->desc.upstreams, &fleet);
}

static void update_members(mesh_t* m) {
    uint64_t changes = cw_members_change_count(m->members);
    if (changes == m->seen_changes) {
        return;
    }
    m->seen_changes = changes;
    uint32_t live = 0;
    uint32_t known = cw_members_count(m->members);
    for (uint32_t i = 0; i < known; i++) {
        live += is_alive(cw_members_at(m->members, i));
    }
    bool has_joined = live > m->live;
    m->live = live;
    if (known > m->max_known) {
        m->max_known = known;
        m->last_join_ms = clock_ms();
    }
    m->rank = own_rank(m);
    reporter_set_members(m->reporter, m->members,
                         &(reporter_position_t){.live = live, .rank = m->rank, .older = count_older_hosts(m)});
    if (has_joined) {
        reporter_resend_all(m->reporter);
    }
    update_fleet(m, clock_ms());
    cw_log(m->desc.log, CW_EVENT_MEMBERS_CHANGED, "live=%u known=%u rank=%u", live, known, m->rank);
    m->desc.on_members(m->desc.user_data, m->max_known, m->rank);
}

static void on_gossip(void* user, const cw_gossip_t* gossip) {
    mesh_t* m = user;
    cw_members_receive(m->members, clock_ms(), gossip);
    update_members(m);
    send_gossip(m);
}

static void on_protocol_error(void* user, const cw_error_t* err) {
    mesh_t* m = user;
    cw_log(m->desc.log, CW_EVENT_PEER_REFUSED, "step=%s peer=%s reason=\"%s\"", err->step, err->peer, err->message);
}

/* -- load reports --------------------------------------------------------- */

void mesh_on_load(mesh_t* m, const server_t* server, const cw_work_t* work) {
    reporter_on_load(m->reporter, server, work);
}

void mesh_on_liveness(mesh_t* m, const server_t* server) {
    reporter_on_liveness(m->reporter, server);
}

void mesh_on_observations(mesh_t* m, const cw_quarantine_observation_t* observations, uint32_t count) {
    reporter_on_observations(m->reporter, observations, count);
}

void mesh_announce_streams(mesh_t* m, const cw_stream_record_t* records, uint32_t count) {
    reporter_announce_streams(m->reporter, records, count);
}

void mesh_inquire_stream(mesh_t* m, const cw_stream_entry_t* inquiry, cw_stream_audience_t* audience) {
    reporter_inquire_stream(m->reporter, inquiry, audience);
}

void mesh_deposit_stream(mesh_t* m, const cw_stream_record_t* record) {
    reporter_deposit_stream(m->reporter, record);
}

uint32_t mesh_query_stream(mesh_t* m, uint64_t stream, uint64_t pool) {
    return reporter_query_stream(m->reporter, stream, pool);
}

void mesh_announce_cached(mesh_t* m, const server_t* server, const cw_prompt_part_t* parts, uint32_t count) {
    reporter_announce_cached(m->reporter, server, parts, count);
}

bool mesh_is_converged(const mesh_t* m, int64_t now_ms) {
    int64_t quiet_period_ms = (int64_t)m->max_known * CONVERGENCE_MS_PER_HOST;
    return now_ms - m->last_join_ms >= (quiet_period_ms < CONVERGENCE_MAX_MS ? quiet_period_ms : CONVERGENCE_MAX_MS);
}

static bool is_owner(const cw_member_t* member) {
    return is_alive(member) && !member->info.leaving;
}

bool mesh_owns_key(const mesh_t* m, uint64_t key) {
    uint64_t own_weight = cw_mix(m->host, key);
    for (uint32_t i = 0; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        if (is_owner(member) && cw_mix(member->info.id, key) > own_weight) {
            return false;
        }
    }
    return true;
}

uint64_t mesh_fleet_set(mesh_t* m) {
    uint64_t changes = cw_members_change_count(m->members);
    if (changes == m->fleet_set_changes && m->fleet_set) {
        return m->fleet_set;
    }
    uint64_t set = 0;
    for (uint32_t i = 0; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        set ^= is_owner(member) ? cw_mix(member->info.id, FLEET_SET_SEED) : 0;
    }
    m->fleet_set = set;
    m->fleet_set_changes = changes;
    return set;
}

/* -- tunnels -------------------------------------------------------------- */

void mesh_set_unreachable_pools(mesh_t* m, uint32_t pools) {
    cw_members_set_unreachable_pools(m->members, pools);
    send_gossip(m);
    update_members(m);
}

static bool is_excluded(uint64_t id, const uint64_t* excluded, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        if (excluded[i] == id) {
            return true;
        }
    }
    return false;
}

const cw_member_info_t* mesh_choose_tunnel_host(const mesh_t* m, const char* pool, uint64_t key,
                                                const uint64_t* excluded, uint32_t excluded_count) {
    const cw_member_info_t* best = NULL;
    uint64_t best_score = 0;
    bool is_best_near = false;
    uint32_t pool_bit = cw_member_pool_bit(pool);
    for (uint32_t i = 1; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        bool is_near = !excluded_count && strcmp(member->info.hall, m->desc.settings->hall) == 0;
        uint64_t score = cw_mix(member->info.id, key);
        bool is_better = is_near != is_best_near ? is_near : score > best_score;
        if (is_better && is_alive(member) && !member->info.leaving && !(member->info.unreachable_pools & pool_bit) &&
            !is_excluded(member->info.id, excluded, excluded_count)) {
            best = &member->info;
            best_score = score;
            is_best_near = is_near;
        }
    }
    return best;
}

bool mesh_has_host_at(const mesh_t* m, const struct sockaddr_in* address) {
    for (uint32_t i = 1; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        struct sockaddr_in peer;
        if (member->info.state != CW_MEMBER_DEAD && cw_addr_parse(member->info.peer, &peer, NULL) == CW_OK &&
            peer.sin_addr.s_addr == address->sin_addr.s_addr) {
            return true;
        }
    }
    return false;
}

/* -- handover ------------------------------------------------------------- */

typedef struct candidate_t {
    uint64_t id, incarnation;
} candidate_t;

static int compare_candidates(const void* left, const void* right) {
    const candidate_t* a = left;
    const candidate_t* b = right;
    if (a->incarnation != b->incarnation) {
        return a->incarnation < b->incarnation ? -1 : 1;
    }
    return a->id < b->id ? -1 : a->id > b->id;
}

/* Lists the hosts that are alive and have sent something to this one, so that they know it, too: those that started
   first precede. Leaving hosts are among them. */
static uint32_t list_candidates(const mesh_t* m, uint64_t ids[HOSTS_MAX]) {
    candidate_t candidates[HOSTS_MAX];
    uint32_t count = 0;
    for (uint32_t i = 1; i < cw_members_count(m->members) && count < HOSTS_MAX; i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        if (is_alive(member) && member->last_received_ms) {
            candidates[count++] = (candidate_t){.id = member->info.id, .incarnation = member->info.incarnation};
        }
    }
    qsort(candidates, count, sizeof(*candidates), compare_candidates);
    for (uint32_t i = 0; i < count; i++) {
        ids[i] = candidates[i].id;
    }
    return count;
}

static void continue_handover(mesh_t* m) {
    uint64_t ids[HOSTS_MAX];
    cw_handover_request_t request;
    if (!m->desc.is_handover_due || !m->desc.is_handover_due(m->desc.user_data)) {
        return;
    }
    if (m->desc.next_handover(m->desc.user_data, ids, list_candidates(m, ids), &request)) {
        reporter_request_page(m->reporter, &request);
    }
}

/* -- interface ------------------------------------------------------------ */

void mesh_announce(mesh_t* m, int64_t revision, uint32_t free_capacity) {
    cw_members_set_status(m->members, revision, free_capacity);
}

void mesh_leave(mesh_t* m) {
    cw_members_leave(m->members);
    send_gossip(m);
}

void mesh_tick(mesh_t* m, int64_t now_ms) {
    cw_members_tick(m->members, now_ms);
    send_gossip(m);
    update_members(m);
    if (m->unreachable && now_ms - m->fleet_updated_ms >= FLEET_UPDATE_INTERVAL_MS) {
        update_fleet(m, now_ms); /* hosts may have passed UNREACHABLE_MAX_MS */
    }
    continue_handover(m);
    reporter_tick(m->reporter, now_ms);
}

static uint32_t collect_addresses(const mesh_t* m, const char* hall, bool includes_self, const char** out,
                                  uint32_t max) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < cw_members_count(m->members) && count < max; i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        bool is_self = member->info.id == m->host;
        if ((is_self && !includes_self) || !is_alive(member) || member->info.leaving ||
            (hall && strcmp(hall, member->info.hall) != 0)) {
            continue;
        }
        out[count++] = member->info.http;
    }
    return count;
}

uint32_t mesh_caller_addresses(const mesh_t* m, const char* hall, bool includes_self, const char** out, uint32_t max) {
    uint32_t count = hall ? collect_addresses(m, hall, includes_self, out, max) : 0;
    return count >= HALL_ADDRESSES_MIN ? count : collect_addresses(m, NULL, includes_self, out, max);
}

mesh_stats_t mesh_stats(const mesh_t* m) {
    return (mesh_stats_t){
        .known = cw_members_count(m->members), .live = m->live, .reporter = reporter_stats(m->reporter)};
}

/* -- setup ---------------------------------------------------------------- */

void mesh_update_seeds(mesh_t* m) {
    cw_members_clear_seeds(m->members);
    const gateway_settings_t* s = m->desc.settings;
    char seeds[CW_SETTINGS_TEXT_MAX];
    char* strtok_state = NULL;
    cw_copy(seeds, sizeof(seeds), s->seeds);
    for (char* seed = strtok_r(seeds, ", ", &strtok_state); seed; seed = strtok_r(NULL, ", ", &strtok_state)) {
        struct sockaddr_in addr;
        char address[CW_ADDR_TEXT_SIZE];
        if (!parse_with_port(seed, s->seed_port ? (uint16_t)s->seed_port : port_of(seed), &addr)) {
            continue;
        }
        cw_addr_format(&addr, address);
        if (strcmp(address, s->peer) != 0) {
            cw_members_add_seed(m->members, address);
        }
    }
    m->seeds_ms = clock_ms();
    send_gossip(m);
    update_fleet(m, m->seeds_ms);
}

static void setup_members(mesh_t* m) {
    const gateway_settings_t* s = m->desc.settings;
    struct timeval now;
    gettimeofday(&now, NULL);
    uint64_t now_ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_usec / 1000;
    cw_members_desc_t desc = {.seed = cw_mix(m->host, now_ms),
                              .max_members = HOSTS_MAX,
                              .period_ms = PROBE_INTERVAL_MS,
                              .timeout_ms = PROBE_TIMEOUT_MS,
                              .suspect_ms = SUSPECT_TIMEOUT_MS,
                              .retry_ms = RETRY_INTERVAL_MS,
                              .self = {.id = m->host, .incarnation = now_ms}};
    desc.self.link_mbps = (uint32_t)s->link_mbps;
    cw_copy(desc.self.name, sizeof(desc.self.name), s->name);
    cw_copy(desc.self.hall, sizeof(desc.self.hall), s->hall);
    cw_copy(desc.self.peer, sizeof(desc.self.peer), s->peer);
    cw_copy(desc.self.http, sizeof(desc.self.http), s->callers);
    m->members = cw_members_setup(&desc);
    mesh_update_seeds(m);
}

mesh_t* mesh_setup(const mesh_desc_t* desc, cw_error_t* err) {
    mesh_t* m = calloc(1, sizeof(*m));
    if (!m) {
        abort();
    }
    m->desc = *desc;
    m->host = cw_name_id(desc->settings->name);
    m->cluster = cw_name_id(desc->settings->cluster);
    m->max_known = 1;
    m->reporter = reporter_setup(&(reporter_desc_t){.loop = desc->loop,
                                                    .settings = desc->settings,
                                                    .upstreams = desc->upstreams,
                                                    .host = m->host,
                                                    .source_state = desc->source_state,
                                                    .on_source_state = desc->on_source_state,
                                                    .on_observation = desc->on_observation,
                                                    .observations = desc->observations,
                                                    .on_stream_announced = desc->on_stream_announced,
                                                    .on_stream_query = desc->on_stream_query,
                                                    .on_stream_inquiry = desc->on_stream_inquiry,
                                                    .on_stream_evidence = desc->on_stream_evidence,
                                                    .write_page = desc->write_page,
                                                    .on_page = desc->on_page,
                                                    .user_data = desc->user_data},
                                 err);
    m->peers = !m->reporter ? NULL
                            : cw_peers_setup(&(cw_peers_desc_t){.loop = desc->loop,
                                                                .address = desc->settings->peer,
                                                                .cluster = desc->settings->cluster,
                                                                .host = m->host,
                                                                .on_gossip = on_gossip,
                                                                .on_protocol_error = on_protocol_error,
                                                                .user_data = m},
                                             err);
    if (!m->peers) {
        if (m->reporter) {
            reporter_shutdown(m->reporter);
        }
        free(m);
        return NULL;
    }
    setup_members(m);
    return m;
}

void mesh_shutdown(mesh_t* m) {
    cw_peers_shutdown(m->peers);
    reporter_shutdown(m->reporter);
    cw_members_shutdown(m->members);
    free(m);
}
