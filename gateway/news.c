#include "news.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../io/address.h"
#include "clock.h"

#define MS_PER_S 1000.0
#define HOSTS_MAX 1024
#define DIRTY_MAX 256
#define QUEUE_MAX 512
#define FLUSH_MS 1                    /* news of what was sent waits so long, so that several share a datagram */
#define SLOW_FLUSH_MS 50              /* news of what ended waits so long */
#define MARKS_MAX (4 * CW_LOAD_MARKS) /* that wait to be told; more are told with the next round of all */
/* Marks of suspect requests are told again by the first ranks, so that a lost datagram and a host that has just started
   cost no server. 48 marks of 30 bytes from two hosts are 3 KB a second for each host that hears them. */
#define MARKS_REPEAT_MS 1000
#define MARKS_RANKS 2
#define MARKS_BURST 16     /* datagrams of marks told at once when a host has come; the rest follows */
#define MARKS_AGAIN_MS 150 /* a new mark is told a second time so much later: one datagram in ten may be lost */
#define LATE_MS 100        /* since the last tick: this process stood still, and what it reads now may have waited */
#define TRANSIT_MS 10      /* least time that a datagram is taken to be under way */

/* A server whose load here is to be told. */
typedef struct dirty_t {
    uint64_t server;
    uint32_t part_count;
    cw_work_part_t parts[CW_LOAD_PARTS];
} dirty_t;

/* An entry that waits to be told. */
typedef struct queued_t {
    cw_load_entry_t entry;
    bool far; /* to the other halls too */
} queued_t;

/* A mark that waits to be told. */
typedef struct told_mark_t {
    cw_mark_t mark;
    bool far;       /* to the other halls too */
    int64_t due_ms; /* 0: at once */
    int64_t at_ms;  /* when mark.age_ms was right */
} told_mark_t;

/* Another host that lives. */
typedef struct peer_t {
    const cw_member_info_t* info; /* valid while the list of peers is made */
    uint64_t id;
    bool leaving;
    struct sockaddr_in load;
} peer_t;

/* The hosts of a hall: a part of the list of peers, relays first. */
typedef struct hall_t {
    uint32_t first, count;
    uint32_t relays; /* of them */
} hall_t;

struct news_t {
    news_desc_t desc;
    uint64_t cluster;
    int fd;
    uint16_t load_port, share_port;
    const cw_members_t* members; /* NULL: none known yet */
    bool members_changed;
    uint32_t live, rank;
    cw_relay_plan_t plan;
    peer_t peers[HOSTS_MAX]; /* without this host; by hall */
    uint64_t ids[HOSTS_MAX]; /* of the same */
    uint32_t peer_count;
    hall_t own;              /* the others of the own hall */
    hall_t halls[HOSTS_MAX]; /* the other halls */
    uint32_t hall_count;
    bool is_relay;
    ev_io load_io;
    ev_timer flush_timer, direct_timer;
    uint64_t direct[DIRTY_MAX]; /* engines whose load here is to be told to their other home hosts */
    uint32_t direct_count;
    dirty_t dirty[DIRTY_MAX];
    uint32_t dirty_count;
    queued_t queue[QUEUE_MAX];
    uint32_t queue_count;
    told_mark_t marks[MARKS_MAX];
    uint32_t mark_count;
    uint32_t marks_at; /* next place of the round of all */
    int64_t marks_ms;  /* of its last part */
    int64_t flushed_ms, repeated_ms;
    int64_t tick_ms, tick_before_ms; /* the last two ticks */
    int64_t sent_ms;
    uint64_t draws;
    news_stats_t stats;
};

static void flush(news_t* n);
static void flush_after(news_t* n, uint32_t ms);

/* -- who is told ---------------------------------------------------------- */

static bool may_relay(const cw_member_info_t* info) {
    return !info->leaving;
}

static bool goes_before(const cw_member_info_t* a, const cw_member_info_t* b) {
    return may_relay(a) != may_relay(b) ? may_relay(a) : cw_relay_before(a, b);
}

static int compare_peers(const void* left, const void* right) {
    const cw_member_info_t* a = ((const peer_t*)left)->info;
    const cw_member_info_t* b = ((const peer_t*)right)->info;
    int halls = strcmp(a->hall, b->hall);
    if (halls) {
        return halls;
    }
    return goes_before(a, b) ? -1 : goes_before(b, a);
}

static void add_peer(news_t* n, const cw_member_info_t* info) {
    peer_t* peer = &n->peers[n->peer_count];
    if (cw_addr_parse(info->peer, &peer->load, NULL) != CW_OK) {
        return;
    }
    peer->load.sin_port = htons(n->load_port);
    peer->info = info;
    peer->id = info->id;
    peer->leaving = info->leaving;
    n->peer_count++;
}

/* How many of the hall's hosts are relays; self: this host where it stands in the hall, else NULL. */
static uint32_t count_relays(const news_t* n, const hall_t* hall, const cw_member_info_t* self) {
    uint32_t links[HOSTS_MAX + 1];
    uint32_t count = 0;
    for (uint32_t i = 0; i < hall->count; i++) {
        const cw_member_info_t* info = n->peers[hall->first + i].info;
        if (self && goes_before(self, info)) {
            links[count++] = self->link_mbps;
            self = NULL;
        }
        links[count++] = info->link_mbps;
    }
    if (self) {
        links[count++] = self->link_mbps;
    }
    return cw_relay_count(&n->plan, links, count);
}

/* Cuts the sorted peers into halls. */
static void cut_halls(news_t* n, const char* own_hall) {
    n->hall_count = 0;
    n->own = (hall_t){0};
    for (uint32_t i = 0; i < n->peer_count;) {
        const char* name = n->peers[i].info->hall;
        hall_t hall = {.first = i};
        for (; i < n->peer_count && strcmp(n->peers[i].info->hall, name) == 0; i++) {
            n->ids[i] = n->peers[i].id;
            hall.count++;
        }
        if (strcmp(name, own_hall) == 0) {
            n->own = hall;
        } else {
            hall.relays = count_relays(n, &hall, NULL);
            n->halls[n->hall_count++] = hall;
        }
    }
}

/* Whether this host is one of its hall's relays, and how many of the others are. */
static void place_self(news_t* n, const cw_member_info_t* self) {
    uint32_t relays = count_relays(n, &n->own, self);
    uint32_t before = 0;
    for (uint32_t i = 0; i < n->own.count; i++) {
        before += goes_before(n->peers[n->own.first + i].info, self);
    }
    n->is_relay = before < relays;
    n->own.relays = relays - n->is_relay;
}

static void read_members(news_t* n) {
    if (!n->members || !n->members_changed) {
        return;
    }
    const cw_member_info_t* self = &cw_members_at(n->members, 0)->info;
    n->members_changed = false;
    n->peer_count = 0;
    for (uint32_t i = 1; i < cw_members_count(n->members) && n->peer_count < HOSTS_MAX; i++) {
        const cw_member_info_t* info = &cw_members_at(n->members, i)->info;
        if (info->state == CW_MEMBER_ALIVE) {
            add_peer(n, info);
        }
    }
    qsort(n->peers, n->peer_count, sizeof(*n->peers), compare_peers);
    n->plan = cw_relay_plan(n->live);
    cut_halls(n, self->hall);
    place_self(n, self);
}

/* The host of the hall that is told for it. */
static const peer_t* relay_of(news_t* n, const hall_t* hall) {
    uint64_t random = cw_mix(n->desc.host, ++n->draws);
    uint32_t i = cw_relay_choose(&n->ids[hall->first], hall->relays, &n->plan, n->desc.host, random);
    return &n->peers[hall->first + i];
}

/* -- datagrams out -------------------------------------------------------- */

typedef struct datagram_t {
    uint8_t bytes[CW_LOAD_BYTES];
    size_t size;
} datagram_t;

/* With what this daemon itself knows of the source, whoever's load it tells. */
static datagram_t datagram_make(news_t* n, cw_load_message_t* message, cw_load_scope_t scope) {
    datagram_t d;
    message->cluster = n->cluster;
    message->host = n->desc.host;
    message->knowledge = n->desc.knowledge(n->desc.user_data);
    message->scope = scope;
    d.size = cw_load_encode(message, d.bytes, sizeof(d.bytes));
    return d;
}

static void send_to(news_t* n, const peer_t* peer, const datagram_t* d) {
    if (d->size) {
        sendto(n->fd, d->bytes, d->size, MSG_DONTWAIT, (const struct sockaddr*)&peer->load, sizeof(peer->load));
        n->stats.out++;
    }
}

static void send_to_hall(news_t* n, cw_load_message_t* message) {
    datagram_t d = datagram_make(n, message, CW_LOAD_LAST);
    for (uint32_t i = 0; i < n->own.count; i++) {
        send_to(n, &n->peers[n->own.first + i], &d);
    }
}

/* To one host of each other hall, which passes it on there: few bytes between halls. */
static void send_to_other_halls(news_t* n, cw_load_message_t* message) {
    datagram_t to_pass_on = datagram_make(n, message, CW_LOAD_FOR_HALL);
    datagram_t last = datagram_make(n, message, CW_LOAD_LAST);
    for (uint32_t i = 0; i < n->hall_count; i++) {
        const hall_t* hall = &n->halls[i];
        send_to(n, relay_of(n, hall), hall->count == 1 ? &last : &to_pass_on);
    }
}

static void send_to_relay(news_t* n, cw_load_message_t* message) {
    if (n->own.count) {
        datagram_t d = datagram_make(n, message, CW_LOAD_FOR_ALL);
        send_to(n, relay_of(n, &n->own), &d);
    }
}

/* Sends the queued entries in as few datagrams as hold them; a message without any when the queue is empty. Returns
   whether anything was sent. */
static bool send_queue(news_t* n, bool far, void (*send)(news_t*, cw_load_message_t*)) {
    cw_load_message_t message = {0};
    bool sent = false;
    for (uint32_t i = 0; i < n->queue_count; i++) {
        if (far && !n->queue[i].far) {
            continue;
        }
        message.entries[message.count++] = n->queue[i].entry;
        if (message.count == CW_LOAD_ENTRIES) {
            send(n, &message);
            message.count = 0;
            sent = true;
        }
    }
    if (message.count || !n->queue_count) {
        send(n, &message);
        sent = true;
    }
    return sent;
}

static void pass_queue_on(news_t* n) {
    send_queue(n, false, send_to_hall);
    if (send_queue(n, true, send_to_other_halls)) {
        n->sent_ms = clock_ms();
    }
    n->queue_count = 0;
}

/* -- the queue ------------------------------------------------------------ */

/* Adds what a newer entry of the same host says of the same server; false when the parts of both don't fit one. */
static bool entry_merge(cw_load_entry_t* into, const cw_load_entry_t* from) {
    if (into->part_count + from->part_count > CW_LOAD_PARTS) {
        return false;
    }
    for (uint32_t i = 0; i < from->part_count; i++) {
        into->parts[into->part_count++] = from->parts[i];
    }
    into->load = from->load;
    into->leaving = into->leaving || from->leaving;
    return true;
}

static void queue_add(news_t* n, const cw_load_entry_t* entry, bool far) {
    for (uint32_t i = n->queue_count; i-- > 0;) {
        queued_t* q = &n->queue[i];
        if (q->entry.server == entry->server && q->entry.host == entry->host) {
            if (q->far == far && entry_merge(&q->entry, entry)) {
                return;
            }
            break; /* what is added after it is newer */
        }
    }
    if (n->queue_count == QUEUE_MAX) {
        pass_queue_on(n);
    }
    n->queue[n->queue_count++] = (queued_t){.entry = *entry, .far = far};
}

/* -- marks ---------------------------------------------------------------- */

static void mark_add(news_t* n, const cw_mark_t* mark, bool far, int64_t due_ms) {
    if (n->mark_count < MARKS_MAX) {
        n->marks[n->mark_count++] = (told_mark_t){.mark = *mark, .far = far, .due_ms = due_ms, .at_ms = clock_ms()};
    }
}

/* Sends the marks that are due, only the far ones or all, in as few datagrams as hold them. */
static void send_marks(news_t* n, bool far, void (*send)(news_t*, cw_load_message_t*)) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < n->mark_count; i++) {
        const told_mark_t* told = &n->marks[i];
        if (told->due_ms > now_ms || (far && !told->far)) {
            continue;
        }
        message.marks[message.mark_count] = told->mark;
        message.marks[message.mark_count++].age_ms += (uint32_t)(now_ms - told->at_ms);
        if (message.mark_count == CW_LOAD_MARKS) {
            send(n, &message);
            message.mark_count = 0;
        }
    }
    if (message.mark_count) {
        send(n, &message);
    }
}

static void drop_told_marks(news_t* n) {
    int64_t now_ms = clock_ms();
    uint32_t kept = 0;
    for (uint32_t i = 0; i < n->mark_count; i++) {
        if (n->marks[i].due_ms > now_ms) {
            n->marks[kept++] = n->marks[i];
        }
    }
    n->mark_count = kept;
}

static void tell_marks(news_t* n) {
    if (!n->mark_count) {
        return;
    }
    read_members(n);
    if (n->is_relay) {
        send_marks(n, false, send_to_hall);
        send_marks(n, true, send_to_other_halls);
    } else {
        send_marks(n, true, send_to_relay);
    }
    drop_told_marks(n);
}

/* Which servers ended at the same moment is told by the ages of marks, so that the longest time that the datagram may
   have been under way is added only after this process stood still. */
static void take_marks(news_t* n, const cw_load_message_t* message, uint32_t waited_ms) {
    uint32_t late_ms = waited_ms > LATE_MS ? waited_ms : 0;
    for (uint32_t i = 0; i < message->mark_count; i++) {
        cw_mark_t mark = message->marks[i];
        mark.age_ms += mark.age_ms < UINT32_MAX - late_ms ? late_ms : 0;
        if (n->desc.on_mark) {
            n->desc.on_mark(n->desc.user_data, &mark);
        }
        if (message->scope != CW_LOAD_LAST) {
            mark_add(n, &mark, message->scope == CW_LOAD_FOR_ALL, 0);
            n->stats.passed_on++;
        }
    }
    tell_marks(n);
}

/* The first ranks tell all that counts again and again, a part at a time. */
static void repeat_marks(news_t* n, int64_t now_ms) {
    if (n->rank >= MARKS_RANKS || now_ms - n->marks_ms < MARKS_REPEAT_MS || !n->desc.marks) {
        return;
    }
    cw_mark_t marks[CW_LOAD_MARKS];
    uint32_t count = n->desc.marks(n->desc.user_data, &n->marks_at, marks, CW_LOAD_MARKS);
    for (uint32_t i = 0; i < count; i++) {
        mark_add(n, &marks[i], true, 0);
    }
    n->marks_ms = now_ms;
}

/* All that counts at once, for a host that has just come: what it doesn't know may end servers, and callers reach it
   within milliseconds of its start. */
static void tell_all_marks(news_t* n) {
    n->marks_at = 0;
    for (uint32_t i = 0; i < MARKS_BURST && (!i || n->marks_at); i++) {
        n->marks_ms = 0;
        repeat_marks(n, clock_ms());
        tell_marks(n);
    }
}

void news_on_mark(news_t* n, const cw_mark_t* mark) {
    mark_add(n, mark, true, 0);
    mark_add(n, mark, true, clock_ms() + MARKS_AGAIN_MS);
    flush_after(n, FLUSH_MS);
}

/* -- own load ------------------------------------------------------------- */

static bool entry_of(const news_t* n, const dirty_t* dirty, int64_t now_ms, cw_load_entry_t* entry) {
    const server_t* server = upstreams_server(n->desc.upstreams, dirty->server);
    uint32_t at = server ? cw_balance_find(server->pool->balance, server->key) : CW_BALANCE_NONE;
    if (at == CW_BALANCE_NONE) {
        return false;
    }
    *entry = (cw_load_entry_t){.host = n->desc.host,
                               .server = dirty->server,
                               .leaving = server->left,
                               .load = cw_balance_load(server->pool->balance, now_ms, at),
                               .part_count = dirty->part_count};
    memcpy(entry->parts, dirty->parts, sizeof(entry->parts));
    return true;
}

static void own_add(news_t* n, cw_load_message_t* message, const dirty_t* dirty, int64_t now_ms) {
    cw_load_entry_t entry;
    if (!entry_of(n, dirty, now_ms, &entry)) {
        return;
    }
    if (n->is_relay) {
        queue_add(n, &entry, true);
        return;
    }
    message->entries[message->count++] = entry;
    if (message->count == CW_LOAD_ENTRIES) {
        send_to_relay(n, message);
        message->count = 0;
    }
}

/* It is time to say something, if only that this host lives and what it knows. Relays speak often, since the others
   hear nobody else. */
static bool is_quiet(const news_t* n, int64_t now_ms) {
    bool speaks_for_hall = n->plan.gather_ms && n->is_relay;
    return now_ms - n->sent_ms >= cw_load_quiet_ms(speaks_for_hall ? 0 : n->rank, n->live);
}

static void flush(news_t* n) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    read_members(n);
    ev_timer_stop(n->desc.loop, &n->flush_timer);
    ev_timer_stop(n->desc.loop, &n->direct_timer);
    bool quiet = is_quiet(n, now_ms);
    for (uint32_t i = 0; i < n->dirty_count; i++) {
        own_add(n, &message, &n->dirty[i], now_ms);
    }
    n->dirty_count = 0;
    n->flushed_ms = now_ms;
    if (!n->is_relay && (message.count || quiet)) {
        send_to_relay(n, &message);
        n->sent_ms = now_ms;
    }
    if (n->queue_count || (n->is_relay && quiet)) {
        pass_queue_on(n);
    }
    tell_marks(n);
}

static void on_flush(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    flush(w->data);
}

static void flush_after(news_t* n, uint32_t ms) {
    if (!ev_is_active(&n->flush_timer)) {
        ev_timer_set(&n->flush_timer, ms / MS_PER_S, 0.0);
        ev_timer_start(n->desc.loop, &n->flush_timer);
    }
}

static dirty_t* dirty_get(news_t* n, uint64_t server) {
    for (uint32_t i = 0; i < n->dirty_count; i++) {
        if (n->dirty[i].server == server) {
            return &n->dirty[i];
        }
    }
    if (n->dirty_count == DIRTY_MAX) {
        flush(n);
    }
    dirty_t* d = &n->dirty[n->dirty_count++];
    *d = (dirty_t){.server = server};
    return d;
}

/* -- to home hosts -------------------------------------------------------- */

/* Tells the engine's other home hosts what this one has there. */
static void tell_homes(news_t* n, uint64_t server, int64_t now_ms) {
    uint64_t ids[HOSTS_MAX + 1];
    const peer_t* staying[HOSTS_MAX + 1];
    uint32_t homes[CW_HOME_HOSTS];
    uint32_t hosts = 0;
    dirty_t dirty = {.server = server};
    cw_load_message_t message = {.count = 1};
    for (uint32_t i = 0; i < n->peer_count; i++) {
        if (!n->peers[i].leaving) {
            ids[hosts] = n->peers[i].id;
            staying[hosts++] = &n->peers[i];
        }
    }
    ids[hosts++] = n->desc.host;
    uint32_t count = cw_home_others(server, n->desc.host, ids, hosts, homes);
    if (!count || !entry_of(n, &dirty, now_ms, &message.entries[0])) {
        return;
    }
    datagram_t d = datagram_make(n, &message, CW_LOAD_LAST);
    for (uint32_t i = 0; i < count; i++) {
        send_to(n, staying[homes[i]], &d);
    }
}

static void on_direct(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    news_t* n = w->data;
    int64_t now_ms = clock_ms();
    read_members(n);
    for (uint32_t i = 0; i < n->direct_count; i++) {
        tell_homes(n, n->direct[i], now_ms);
    }
    n->direct_count = 0;
}

/* In a large fleet what changes at an engine is told to its home hosts without waiting for relays. */
static void tell_homes_soon(news_t* n, const server_t* server) {
    if (!n->plan.gather_ms || !server->pool->slots || n->direct_count == DIRTY_MAX) {
        return; /* the relays' news tells it later */
    }
    for (uint32_t i = 0; i < n->direct_count; i++) {
        if (n->direct[i] == server->key) {
            return;
        }
    }
    n->direct[n->direct_count++] = server->key;
    if (!ev_is_active(&n->direct_timer)) {
        ev_timer_set(&n->direct_timer, FLUSH_MS / MS_PER_S, 0.0);
        ev_timer_start(n->desc.loop, &n->direct_timer);
    }
}

/* -- own changes ---------------------------------------------------------- */

static void flush_soon(news_t* n) {
    flush_after(n, n->is_relay && n->plan.gather_ms ? n->plan.gather_ms : FLUSH_MS);
}

void news_on_load(news_t* n, const server_t* server, const cw_work_t* work) {
    dirty_t* d = dirty_get(n, server->key);
    tell_homes_soon(n, server);
    if (!work || !work->prompt_tokens) {
        return; /* told with the next tick */
    }
    for (uint32_t i = 0; i < work->part_count && d->part_count < CW_LOAD_PARTS; i++) {
        d->parts[d->part_count++] = work->parts[i];
    }
    flush_soon(n);
}

void news_on_life(news_t* n, const server_t* server) {
    dirty_get(n, server->key);
    flush_soon(n);
}

void news_tell_kept(news_t* n, const server_t* server, const cw_work_part_t* parts, uint32_t count) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    read_members(n);
    for (uint32_t i = 0; i < count; i += CW_LOAD_PARTS) {
        dirty_t some = {.server = server->key};
        some.part_count = count - i < CW_LOAD_PARTS ? count - i : CW_LOAD_PARTS;
        memcpy(some.parts, &parts[i], some.part_count * sizeof(*parts));
        own_add(n, &message, &some, now_ms);
    }
    if (message.count) {
        send_to_relay(n, &message);
    }
    if (n->queue_count) {
        pass_queue_on(n);
    }
}

/* Everything that this daemon has anywhere is told again. */
static void repeat_all(news_t* n, int64_t now_ms) {
    for (pool_t* pool = upstreams_pools(n->desc.upstreams); pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            uint32_t at = cw_balance_find(pool->balance, s->key);
            bool told = at != CW_BALANCE_NONE && (cw_balance_load(pool->balance, now_ms, at).running ||
                                                  cw_balance_tells_limit(pool->balance, now_ms, s->key));
            if (told) {
                dirty_get(n, s->key);
            }
        }
    }
    n->repeated_ms = now_ms;
}

/* -- datagrams in --------------------------------------------------------- */

static void take_entry(news_t* n, const cw_load_entry_t* entry, int64_t now_ms) {
    server_t* server = upstreams_server(n->desc.upstreams, entry->server);
    if (!server) {
        n->stats.unknown++; /* another life of a server, or one of a list that has not come yet */
        return;
    }
    cw_balance_t* balance = server->pool->balance;
    bool suspected = cw_balance_suspected(balance, now_ms, entry->server);
    double limit_per_s = cw_balance_limit_per_s(balance, now_ms, entry->server);
    cw_balance_news(balance, now_ms, entry->host, entry->server, &entry->load);
    if (entry->load.rate_known) {
        server_log_limit(server, now_ms, limit_per_s, entry->host);
    }
    if (entry->load.failed_ago_ms || entry->load.alive_ago_ms) {
        server_log_life(server, now_ms, suspected, entry->host);
    }
    for (uint32_t i = 0; i < entry->part_count; i++) {
        cw_balance_kept(balance, entry->server, &entry->parts[i]);
    }
    if (entry->leaving) {
        upstreams_leaves(n->desc.upstreams, now_ms, server);
    }
}

/* Other hosts' entries are taken over, and kept to be passed on where that is asked for. */
static void take_message(news_t* n, const cw_load_message_t* message) {
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < message->count; i++) {
        const cw_load_entry_t* entry = &message->entries[i];
        if (entry->host == n->desc.host) {
            continue; /* a relay told the whole hall */
        }
        take_entry(n, entry, now_ms);
        if (message->scope != CW_LOAD_LAST) {
            queue_add(n, entry, message->scope == CW_LOAD_FOR_ALL);
            n->stats.passed_on++;
        }
    }
    if (!n->queue_count) {
        return;
    }
    read_members(n);
    if (n->plan.gather_ms) {
        flush_after(n, n->plan.gather_ms);
    } else {
        pass_queue_on(n);
    }
}

/* How long a datagram may have been under way that is read now: this process may have been late to read it. */
static uint32_t waited_at_most_ms(const news_t* n, int64_t now_ms) {
    int64_t since_tick_ms = n->tick_before_ms ? now_ms - n->tick_before_ms : 0;
    return since_tick_ms > TRANSIT_MS ? (uint32_t)since_tick_ms : TRANSIT_MS;
}

static void on_load(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    news_t* n = w->data;
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t message;
    uint32_t waited_ms = waited_at_most_ms(n, clock_ms());
    struct sockaddr_in from;
    socklen_t from_size = sizeof(from);
    ssize_t size = 0;
    while ((size = recvfrom(n->fd, bytes, sizeof(bytes), MSG_DONTWAIT, (struct sockaddr*)&from, &from_size)) > 0) {
        if (cw_load_decode(&message, bytes, (size_t)size, NULL) != CW_OK || message.cluster != n->cluster) {
            n->stats.refused++;
            continue;
        }
        char share[CW_ADDR_TEXT];
        from.sin_port = htons(n->share_port);
        cw_addr_format(&from, share);
        n->stats.in++;
        cw_knowledge_age(&message.knowledge, waited_ms);
        n->desc.on_knowledge(n->desc.user_data, share, &message.knowledge);
        take_marks(n, &message, waited_ms);
        take_message(n, &message);
    }
}

/* -- for others ----------------------------------------------------------- */

void news_set_members(news_t* n, const cw_members_t* members, uint32_t live, uint32_t rank) {
    n->members = members;
    n->members_changed = true;
    n->live = live;
    n->rank = rank;
}

void news_tell_all(news_t* n) {
    n->repeated_ms = 0;
    tell_all_marks(n);
}

void news_tick(news_t* n, int64_t now_ms) {
    n->tick_before_ms = n->tick_ms;
    n->tick_ms = now_ms;
    if (now_ms - n->repeated_ms >= n->plan.repeat_ms) {
        repeat_all(n, now_ms);
    }
    repeat_marks(n, now_ms);
    tell_marks(n);
    bool due = n->dirty_count && now_ms - n->flushed_ms >= SLOW_FLUSH_MS;
    if (due || is_quiet(n, now_ms)) {
        flush(n);
    }
}

news_stats_t news_stats(const news_t* n) {
    return n->stats;
}

/* -- setup ---------------------------------------------------------------- */

static uint16_t port_of(const char* address) {
    struct sockaddr_in addr;
    return cw_addr_parse(address, &addr, NULL) == CW_OK ? ntohs(addr.sin_port) : 0;
}

news_t* news_setup(const news_desc_t* desc, cw_error_t* err) {
    news_t* n = calloc(1, sizeof(*n));
    if (!n) {
        abort();
    }
    n->desc = *desc;
    n->cluster = cw_name_id(desc->settings->cluster);
    n->load_port = port_of(desc->settings->load);
    n->share_port = port_of(desc->settings->share);
    n->plan = cw_relay_plan(1);
    n->is_relay = true;
    n->live = 1;
    n->fd = cw_addr_bind_udp(desc->settings->load, err);
    if (n->fd < 0) {
        free(n);
        return NULL;
    }
    ev_io_init(&n->load_io, on_load, n->fd, EV_READ);
    ev_timer_init(&n->flush_timer, on_flush, FLUSH_MS / MS_PER_S, 0.0);
    ev_timer_init(&n->direct_timer, on_direct, FLUSH_MS / MS_PER_S, 0.0);
    n->load_io.data = n->flush_timer.data = n->direct_timer.data = n;
    ev_io_start(desc->loop, &n->load_io);
    return n;
}

void news_shutdown(news_t* n) {
    ev_io_stop(n->desc.loop, &n->load_io);
    ev_timer_stop(n->desc.loop, &n->flush_timer);
    close(n->fd);
    free(n);
}
