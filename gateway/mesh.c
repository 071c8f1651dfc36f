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

#define MS_PER_S 1000.0
#define HOSTS_MAX 1024
#define DIRTY_MAX 256
#define FLUSH_S 0.001    /* news of what was sent waits so long, so that several share a datagram */
#define SLOW_FLUSH_MS 50 /* news of what ended waits so long */
#define REPEAT_MS 400    /* all news is told again after so long: datagrams get lost */
#define HALLS_MAX 16     /* further halls get their news without a relay */
#define HALL_ENOUGH 2    /* hosts of a caller's hall that are enough to name only them */
#define PROBE_MS 250     /* between two probes */
#define PROBE_TIMEOUT_MS 100
#define SUSPECT_MS 700
#define TRANSIT_MS 10 /* least time that a datagram is taken to be under way */
#define RETRY_MS 250  /* between probes of seeds and dead hosts: a fleet that starts again finds itself soon */

/* A server whose load here is to be told. */
typedef struct dirty_t {
    uint64_t server;
    uint32_t part_count;
    cw_work_part_t parts[CW_LOAD_PARTS];
} dirty_t;

struct mesh_t {
    mesh_desc_t desc;
    uint64_t host, cluster;
    cw_peers_t* peers;
    cw_members_t* members;
    uint64_t members_seen;
    uint32_t daemons; /* most that were known at once */
    uint32_t rank;    /* of this host among those that live */
    int fd;           /* of the load address */
    uint16_t load_port, share_port;
    ev_io load_io;
    ev_timer flush_timer;
    dirty_t dirty[DIRTY_MAX];
    uint32_t dirty_count;
    int64_t flushed_ms, repeated_ms;
    int64_t tick_ms, tick_before_ms; /* the last two ticks */
    int64_t sent_ms;
    uint64_t draws;
    mesh_stats_t stats;
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
    for (uint32_t i = 0; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        rank += is_live(member) && !member->info.leaving && cw_mix(member->info.id, 1) < cw_mix(m->host, 1);
    }
    return rank;
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
    if (live > m->stats.live) {
        m->repeated_ms = 0; /* a host that has just come hears all with the next tick */
    }
    m->stats.live = live;
    m->stats.known = known;
    m->daemons = known > m->daemons ? known : m->daemons;
    m->rank = own_rank(m);
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

/* -- load out ------------------------------------------------------------- */

typedef struct datagram_t {
    uint8_t bytes[CW_LOAD_BYTES];
    size_t size;
} datagram_t;

/* With what this daemon itself knows of the source, whoever's load it tells. */
static datagram_t datagram_make(mesh_t* m, cw_load_message_t* message, bool pass_on) {
    datagram_t d;
    message->cluster = m->cluster;
    message->knowledge = m->desc.knowledge(m->desc.user_data);
    message->pass_on = pass_on;
    d.size = cw_load_encode(message, d.bytes, sizeof(d.bytes));
    return d;
}

static bool is_near(const mesh_t* m, const cw_member_t* member) {
    return strcmp(member->info.hall, m->desc.settings->hall) == 0;
}

static void send_to(mesh_t* m, const cw_member_t* member, const datagram_t* d) {
    struct sockaddr_in to;
    if (d->size && with_port(member->info.peer, m->load_port, &to)) {
        sendto(m->fd, d->bytes, d->size, MSG_DONTWAIT, (struct sockaddr*)&to, sizeof(to));
        m->stats.load_out++;
    }
}

/* The host of the hall that passes news on this time, by chance, so that one that is lost takes only some with it. */
typedef struct relay_t {
    const char* hall;
    const cw_member_t* member;
    uint32_t hosts; /* seen in the hall */
} relay_t;

static relay_t* relay_of(relay_t* relays, uint32_t* count, const char* hall) {
    for (uint32_t i = 0; i < *count; i++) {
        if (strcmp(relays[i].hall, hall) == 0) {
            return &relays[i];
        }
    }
    if (*count == HALLS_MAX) {
        return NULL;
    }
    relays[*count] = (relay_t){.hall = hall};
    return &relays[(*count)++];
}

/* To each host of the own hall, and to one of each other hall, which passes it on there: few bytes between halls. */
static void send_load(mesh_t* m, cw_load_message_t* message) {
    relay_t relays[HALLS_MAX];
    uint32_t relay_count = 0;
    message->host = m->host;
    datagram_t to_pass_on = datagram_make(m, message, true);
    datagram_t last = datagram_make(m, message, false);
    for (uint32_t i = 0; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        if (member->info.id == m->host || !is_live(member)) {
            continue;
        }
        relay_t* relay = is_near(m, member) ? NULL : relay_of(relays, &relay_count, member->info.hall);
        if (!relay) {
            send_to(m, member, &last);
            continue;
        }
        relay->hosts++;
        if (cw_mix(m->host, ++m->draws) % relay->hosts == 0) {
            relay->member = member;
        }
    }
    for (uint32_t i = 0; i < relay_count; i++) {
        bool alone = relays[i].hosts == 1;
        send_to(m, relays[i].member, alone ? &last : &to_pass_on);
    }
    m->sent_ms = clock_ms();
}

/* Sends another host's news on to the others of this hall. */
static void pass_on(mesh_t* m, cw_load_message_t* message) {
    datagram_t last = datagram_make(m, message, false);
    for (uint32_t i = 0; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        bool known = member->info.id == m->host || member->info.id == message->host;
        if (!known && is_live(member) && is_near(m, member)) {
            send_to(m, member, &last);
        }
    }
    m->stats.passed_on++;
}

static void add_entry(mesh_t* m, cw_load_message_t* message, const dirty_t* dirty, int64_t now_ms) {
    server_t* server = upstreams_server(m->desc.upstreams, dirty->server);
    uint32_t at = server ? cw_balance_find(server->pool->balance, server->key) : CW_BALANCE_NONE;
    if (at == CW_BALANCE_NONE) {
        return;
    }
    cw_load_entry_t* entry = &message->entries[message->count++];
    *entry = (cw_load_entry_t){.server = dirty->server,
                               .leaving = server->left,
                               .load = cw_balance_load(server->pool->balance, now_ms, at),
                               .part_count = dirty->part_count};
    memcpy(entry->parts, dirty->parts, sizeof(entry->parts));
    if (message->count == CW_LOAD_ENTRIES) {
        send_load(m, message);
        message->count = 0;
    }
}

/* It is time to say something, if only that this host lives and what it knows. */
static bool is_quiet(const mesh_t* m, int64_t now_ms) {
    return now_ms - m->sent_ms >= cw_load_quiet_ms(m->rank, m->stats.live);
}

static void flush(mesh_t* m) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    ev_timer_stop(m->desc.loop, &m->flush_timer);
    for (uint32_t i = 0; i < m->dirty_count; i++) {
        add_entry(m, &message, &m->dirty[i], now_ms);
    }
    if (message.count || is_quiet(m, now_ms)) {
        send_load(m, &message);
    }
    m->dirty_count = 0;
    m->flushed_ms = now_ms;
}

static void on_flush(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    flush(w->data);
}

static dirty_t* dirty_get(mesh_t* m, uint64_t server) {
    for (uint32_t i = 0; i < m->dirty_count; i++) {
        if (m->dirty[i].server == server) {
            return &m->dirty[i];
        }
    }
    if (m->dirty_count == DIRTY_MAX) {
        flush(m);
    }
    dirty_t* d = &m->dirty[m->dirty_count++];
    *d = (dirty_t){.server = server};
    return d;
}

void mesh_on_load(mesh_t* m, const server_t* server, const cw_work_t* work) {
    dirty_t* d = dirty_get(m, server->key);
    if (!work || !work->prompt_tokens) {
        return; /* told with the next tick */
    }
    for (uint32_t i = 0; i < work->part_count && d->part_count < CW_LOAD_PARTS; i++) {
        d->parts[d->part_count++] = work->parts[i];
    }
    if (!ev_is_active(&m->flush_timer)) {
        ev_timer_set(&m->flush_timer, FLUSH_S, 0.0);
        ev_timer_start(m->desc.loop, &m->flush_timer);
    }
}

void mesh_tell_kept(mesh_t* m, const server_t* server, const cw_work_part_t* parts, uint32_t count) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < count; i += CW_LOAD_PARTS) {
        dirty_t some = {.server = server->key};
        some.part_count = count - i < CW_LOAD_PARTS ? count - i : CW_LOAD_PARTS;
        memcpy(some.parts, &parts[i], some.part_count * sizeof(*parts));
        add_entry(m, &message, &some, now_ms);
    }
    if (message.count) {
        send_load(m, &message);
    }
}

bool mesh_is_mine(const mesh_t* m, uint64_t key) {
    for (uint32_t i = 0; i < cw_members_count(m->members); i++) {
        const cw_member_t* member = cw_members_at(m->members, i);
        if (is_live(member) && !member->info.leaving && cw_mix(member->info.id, key) > cw_mix(m->host, key)) {
            return false;
        }
    }
    return true;
}

/* Everything that this daemon has anywhere is told again. */
static void repeat_all(mesh_t* m, int64_t now_ms) {
    for (pool_t* pool = upstreams_pools(m->desc.upstreams); pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            uint32_t at = cw_balance_find(pool->balance, s->key);
            if (at != CW_BALANCE_NONE && cw_balance_load(pool->balance, now_ms, at).running) {
                dirty_get(m, s->key);
            }
        }
    }
    m->repeated_ms = now_ms;
}

/* -- load in -------------------------------------------------------------- */

static void take_load(mesh_t* m, const cw_load_message_t* message) {
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < message->count; i++) {
        const cw_load_entry_t* entry = &message->entries[i];
        server_t* server = upstreams_server(m->desc.upstreams, entry->server);
        if (!server) {
            continue;
        }
        cw_balance_news(server->pool->balance, now_ms, message->host, entry->server, &entry->load);
        for (uint32_t p = 0; p < entry->part_count; p++) {
            cw_balance_kept(server->pool->balance, entry->server, &entry->parts[p]);
        }
        if (entry->leaving) {
            upstreams_leaves(m->desc.upstreams, now_ms, server);
        }
    }
}

/* How long a datagram may have been under way that is read now: this process may have been late to read it. */
static uint32_t waited_at_most_ms(const mesh_t* m, int64_t now_ms) {
    int64_t since_tick_ms = m->tick_before_ms ? now_ms - m->tick_before_ms : 0;
    return since_tick_ms > TRANSIT_MS ? (uint32_t)since_tick_ms : TRANSIT_MS;
}

static void on_load(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    mesh_t* m = w->data;
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t message;
    uint32_t waited_ms = waited_at_most_ms(m, clock_ms());
    struct sockaddr_in from;
    socklen_t from_size = sizeof(from);
    ssize_t n = 0;
    while ((n = recvfrom(m->fd, bytes, sizeof(bytes), MSG_DONTWAIT, (struct sockaddr*)&from, &from_size)) > 0) {
        if (cw_load_decode(&message, bytes, (size_t)n, NULL) == CW_OK && message.cluster == m->cluster) {
            char share[CW_ADDR_TEXT];
            from.sin_port = htons(m->share_port);
            cw_addr_format(&from, share);
            m->stats.load_in++;
            cw_knowledge_age(&message.knowledge, waited_ms);
            m->desc.on_knowledge(m->desc.user_data, share, &message.knowledge);
            take_load(m, &message);
            if (message.pass_on) {
                pass_on(m, &message);
            }
        } else {
            m->stats.load_refused++;
        }
    }
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
    m->tick_before_ms = m->tick_ms;
    m->tick_ms = now_ms;
    cw_members_tick(m->members, now_ms);
    send_gossip(m);
    tell_members(m);
    if (now_ms - m->repeated_ms >= REPEAT_MS) {
        repeat_all(m, now_ms);
    }
    bool due = m->dirty_count && now_ms - m->flushed_ms >= SLOW_FLUSH_MS;
    if (due || is_quiet(m, now_ms)) {
        flush(m);
    }
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
    return m->stats;
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
    m->load_port = port_of(desc->settings->load);
    m->share_port = port_of(desc->settings->share);
    m->daemons = 1;
    m->fd = cw_addr_bind_udp(desc->settings->load, err);
    m->peers = m->fd < 0 ? NULL
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
        if (m->fd >= 0) {
            close(m->fd);
        }
        free(m);
        return NULL;
    }
    setup_members(m);
    ev_io_init(&m->load_io, on_load, m->fd, EV_READ);
    ev_timer_init(&m->flush_timer, on_flush, FLUSH_S, 0.0);
    m->load_io.data = m->flush_timer.data = m;
    ev_io_start(desc->loop, &m->load_io);
    return m;
}

void mesh_shutdown(mesh_t* m) {
    ev_io_stop(m->desc.loop, &m->load_io);
    ev_timer_stop(m->desc.loop, &m->flush_timer);
    close(m->fd);
    cw_peers_shutdown(m->peers);
    cw_members_shutdown(m->members);
    free(m);
}
