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

#define MISSING_MS 30000   /* a host that isn't heard of for longer is taken to be gone */
#define FLEET_LOOK_MS 1000 /* how often that is looked at */
#define HOSTS_MAX 1024
#define HALL_ENOUGH 2 /* hosts of a caller's hall that are enough to name only them */
#define PROBE_MS 250  /* between two probes */
#define PROBE_TIMEOUT_MS 100
#define SUSPECT_MS 700
#define SETTLE_HOST_MS 10  /* of a fleet that starts: without a new host for so long for each that is known */
#define SETTLE_MAX_MS 1000 /* and no longer than some rounds of gossip */
#define RETRY_MS 250       /* between probes of seeds and dead hosts: a fleet that starts again finds itself soon */

struct mesh_t {
    mesh_desc_t desc;
    uint64_t host, cluster;
    cw_peers_t* peers;
    cw_members_t* members;
    uint64_t members_seen;
    uint64_t fleet[HOSTS_MAX]; /* ids of those that live and stay */
    uint32_t daemons;          /* most that were known at once */
    uint32_t rank;             /* of this host among those that live */
    news_t* news;
    uint32_t live;
    uint32_t missing; /* hosts that may be cut off, when the fleet was told last */
    int64_t fleet_ms; /* when that was */
    int64_t grown_ms; /* when a host became known that was not */
};

static uint16_t port_of(const char* address) {
    struct sockaddr_in addr;
    return cw_addr_parse(address, &addr, NULL) == CW_OK ? ntohs(addr.sin_port) : 0;
}

/* Address with another port. */
static bool with_port(const char* address, uint16_t port, struct sockaddr_in* out) {
    if (cw_addr_parse(address, out, NULL) != CW_OK) {
        return false;
    }
    out->sin_port = htons(port);
    return true;
}

/* -- members -------------------------------------------------------------- */

static bool is_live(const cw_member_t* member) {
    return member->info.state == CW_MEMBER_ALIVE;
}

static void send_gossip(mesh_t* m) {
    cw_gossip_out_t out;
    while (cw_members_next(m->members, &out)) {
        cw_peers_gossip(m->peers, out.to, &out.message);
    }
}

/* This host's place among those that live, in an order that all see alike. */
static uint32_t own_rank(const mesh_t* m) {
    uint32_t rank = 0;
    const cw_member_info_t* self = &cw_members_at(m->members, 0)->info;
    for (uint32_t i = 1; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        rank += is_live(member) && !member->info.leaving && cw_relay_before(&member->info, self);
    }
    return rank;
}

/* Whether a host that isn't heard of may be cut off and go on: it neither left as planned nor was its process seen to
   be gone. */
static bool is_missing(const cw_member_t* member, int64_t now_ms) {
    return !is_live(member) && !member->info.leaving && !member->refused && now_ms - member->since_ms < MISSING_MS;
}

/* Leaving hosts begin nothing new, so they are nobody's rivals. */
static void tell_fleet(mesh_t* m, int64_t now_ms) {
    cw_relay_plan_t plan = cw_relay_plan(m->live);
    cw_fleet_t fleet = {.ids = m->fleet, .reach_ms = plan.reach_ms, .direct_ms = plan.direct_ms};
    for (uint32_t i = 0; i < cw_members_count(m->members) && fleet.count < HOSTS_MAX; i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        if (is_live(member) && !member->info.leaving) {
            m->fleet[fleet.count++] = member->info.id;
        }
        fleet.missing += is_missing(member, now_ms);
    }
    m->missing = fleet.missing;
    m->fleet_ms = now_ms;
    upstreams_set_fleet(m->desc.upstreams, &fleet);
}

static void tell_members(mesh_t* m) {
    uint64_t changes = cw_members_changes(m->members);
    if (changes == m->members_seen) {
        return;
    }
    m->members_seen = changes;
    uint32_t live = 0;
    uint32_t known = cw_members_count(m->members);
    for (uint32_t i = 0; i < known; i++) {
        live += is_live(cw_members_at(m->members, i));
    }
    if (live > m->live) {
        news_tell_all(m->news);
    }
    m->live = live;
    if (known > m->daemons) {
        m->daemons = known;
        m->grown_ms = clock_ms();
    }
    m->rank = own_rank(m);
    news_set_members(m->news, m->members, live, m->rank);
    tell_fleet(m, clock_ms());
    cw_log(m->desc.log, CW_EVENT_MEMBERS_CHANGED, "live=%u known=%u rank=%u", live, known, m->rank);
    m->desc.on_members(m->desc.user_data, m->daemons, m->rank);
}

static void on_gossip(void* user, const cw_gossip_t* gossip) {
    mesh_t* m = user;
    cw_members_receive(m->members, clock_ms(), gossip);
    tell_members(m);
    send_gossip(m);
}

static void on_message(void* user, uint64_t from, const cw_msg_t* msg) {
    (void)user;
    (void)from;
    (void)msg;
}

static void on_refused(void* user, const cw_error_t* err) {
    mesh_t* m = user;
    cw_log(m->desc.log, CW_EVENT_PEER_REFUSED, "step=%s peer=%s reason=\"%s\"", err->step, err->peer, err->message);
}

/* -- news ----------------------------------------------------------------- */

void mesh_on_load(mesh_t* m, const server_t* server, const cw_work_t* work) {
    news_on_load(m->news, server, work);
}

void mesh_on_life(mesh_t* m, const server_t* server) {
    news_on_life(m->news, server);
}

void mesh_on_mark(mesh_t* m, const cw_mark_t* mark) {
    news_on_mark(m->news, mark);
}

void mesh_tell_kept(mesh_t* m, const server_t* server, const cw_work_part_t* parts, uint32_t count) {
    news_tell_kept(m->news, server, parts, count);
}

bool mesh_is_settled(const mesh_t* m, int64_t now_ms) {
    int64_t settle_ms = (int64_t)m->daemons * SETTLE_HOST_MS;
    return now_ms - m->grown_ms >= (settle_ms < SETTLE_MAX_MS ? settle_ms : SETTLE_MAX_MS);
}

bool mesh_is_mine(const mesh_t* m, uint64_t key) {
    uint64_t own = cw_mix(m->host, key);
    for (uint32_t i = 0; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        if (is_live(member) && !member->info.leaving && cw_mix(member->info.id, key) > own) {
            return false;
        }
    }
    return true;
}

/* -- for others ----------------------------------------------------------- */

void mesh_announce(mesh_t* m, int64_t revision, uint32_t room) {
    cw_members_announce(m->members, revision, room);
}

void mesh_leave(mesh_t* m) {
    cw_members_leave(m->members);
    send_gossip(m);
}

void mesh_tick(mesh_t* m, int64_t now_ms) {
    cw_members_tick(m->members, now_ms);
    send_gossip(m);
    tell_members(m);
    if (m->missing && now_ms - m->fleet_ms >= FLEET_LOOK_MS) {
        tell_fleet(m, now_ms); /* some may be missing for too long by now */
    }
    news_tick(m->news, now_ms);
}

static uint32_t addresses(const mesh_t* m, const char* hall, bool with_self, const char** out, uint32_t max) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < cw_members_count(m->members) && count < max; i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        bool self = member->info.id == m->host;
        if ((self && !with_self) || !is_live(member) || member->info.leaving ||
            (hall && strcmp(hall, member->info.hall) != 0)) {
            continue;
        }
        out[count++] = member->info.http;
    }
    return count;
}

uint32_t mesh_callers_addresses(const mesh_t* m, const char* hall, bool with_self, const char** out, uint32_t max) {
    uint32_t count = hall ? addresses(m, hall, with_self, out, max) : 0;
    return count >= HALL_ENOUGH ? count : addresses(m, NULL, with_self, out, max);
}

mesh_stats_t mesh_stats(const mesh_t* m) {
    return (mesh_stats_t){.known = cw_members_count(m->members), .live = m->live, .news = news_stats(m->news)};
}

/* -- setup ---------------------------------------------------------------- */

static void contact_seeds(mesh_t* m) {
    const gateway_settings_t* s = m->desc.settings;
    char seeds[CW_SETTINGS_TEXT_MAX];
    char* rest = NULL;
    cw_copy(seeds, sizeof(seeds), s->seeds);
    for (char* seed = strtok_r(seeds, ", ", &rest); seed; seed = strtok_r(NULL, ", ", &rest)) {
        struct sockaddr_in addr;
        char address[CW_ADDR_TEXT];
        if (!with_port(seed, s->seed_port ? (uint16_t)s->seed_port : port_of(seed), &addr)) {
            continue;
        }
        cw_addr_format(&addr, address);
        if (strcmp(address, s->peer) != 0) {
            cw_members_contact(m->members, address);
        }
    }
}

static void setup_members(mesh_t* m) {
    const gateway_settings_t* s = m->desc.settings;
    struct timeval now;
    gettimeofday(&now, NULL);
    uint64_t now_ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_usec / 1000;
    cw_members_desc_t desc = {.seed = cw_mix(m->host, now_ms),
                              .max_members = HOSTS_MAX,
                              .period_ms = PROBE_MS,
                              .timeout_ms = PROBE_TIMEOUT_MS,
                              .suspect_ms = SUSPECT_MS,
                              .retry_ms = RETRY_MS,
                              .self = {.id = m->host, .incarnation = now_ms}};
    desc.self.link_mbps = (uint32_t)s->link_mbps;
    cw_copy(desc.self.name, sizeof(desc.self.name), s->name);
    cw_copy(desc.self.hall, sizeof(desc.self.hall), s->hall);
    cw_copy(desc.self.peer, sizeof(desc.self.peer), s->peer);
    cw_copy(desc.self.http, sizeof(desc.self.http), s->callers);
    m->members = cw_members_setup(&desc);
    contact_seeds(m);
}

mesh_t* mesh_setup(const mesh_desc_t* desc, cw_error_t* err) {
    mesh_t* m = calloc(1, sizeof(*m));
    if (!m) {
        abort();
    }
    m->desc = *desc;
    m->host = cw_name_id(desc->settings->name);
    m->cluster = cw_name_id(desc->settings->cluster);
    m->daemons = 1;
    m->news = news_setup(&(news_desc_t){.loop = desc->loop,
                                        .settings = desc->settings,
                                        .upstreams = desc->upstreams,
                                        .host = m->host,
                                        .knowledge = desc->knowledge,
                                        .on_knowledge = desc->on_knowledge,
                                        .on_mark = desc->on_mark,
                                        .marks = desc->marks,
                                        .user_data = desc->user_data},
                         err);
    m->peers = !m->news ? NULL
                        : cw_peers_setup(&(cw_peers_desc_t){.loop = desc->loop,
                                                            .address = desc->settings->peer,
                                                            .cluster = desc->settings->cluster,
                                                            .host = m->host,
                                                            .max_links = 4,
                                                            .on_message = on_message,
                                                            .on_gossip = on_gossip,
                                                            .on_refused = on_refused,
                                                            .user_data = m},
                                         err);
    if (!m->peers) {
        if (m->news) {
            news_shutdown(m->news);
        }
        free(m);
        return NULL;
    }
    setup_members(m);
    return m;
}

void mesh_shutdown(mesh_t* m) {
    cw_peers_shutdown(m->peers);
    news_shutdown(m->news);
    cw_members_shutdown(m->members);
    free(m);
}
