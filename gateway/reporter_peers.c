/* The receivers of load reports, by hall and relay role, and the datagrams sent to them. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "../io/address.h"
#include "reporter_internal.h"

/* -- receivers ------------------------------------------------------------ */

static bool can_relay(const cw_member_info_t* info) {
    return !info->leaving;
}

static bool precedes(const cw_member_info_t* a, const cw_member_info_t* b) {
    return can_relay(a) != can_relay(b) ? can_relay(a) : cw_relay_ranks_before(a, b);
}

static int compare_peers(const void* left, const void* right) {
    const cw_member_info_t* a = ((const peer_t*)left)->info;
    const cw_member_info_t* b = ((const peer_t*)right)->info;
    int hall_order = strcmp(a->hall, b->hall);
    if (hall_order) {
        return hall_order;
    }
    return precedes(a, b) ? -1 : precedes(b, a);
}

static void add_peer(reporter_t* n, const cw_member_info_t* info) {
    peer_t* peer = &n->peers[n->peer_count];
    if (cw_addr_parse(info->peer, &peer->load, NULL) != CW_OK) {
        return;
    }
    peer->load.sin_port = htons(n->load_port);
    peer->info = info;
    peer->id = info->id;
    peer->is_leaving = info->leaving;
    n->peer_count++;
}

/* Number of the hall's hosts that are relays. self: this host if it is in the hall, else NULL. */
static uint32_t count_relays(const reporter_t* n, const hall_range_t* hall, const cw_member_info_t* self) {
    uint32_t links[HOSTS_MAX + 1];
    uint32_t count = 0;
    for (uint32_t i = 0; i < hall->count; i++) {
        const cw_member_info_t* info = n->peers[hall->first + i].info;
        if (self && precedes(self, info)) {
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

/* Groups the sorted peers by hall. */
static void group_by_hall(reporter_t* n, const char* own_hall_name) {
    n->other_hall_count = 0;
    n->own_hall = (hall_range_t){0};
    for (uint32_t i = 0; i < n->peer_count;) {
        const char* name = n->peers[i].info->hall;
        hall_range_t hall = {.first = i};
        for (; i < n->peer_count && strcmp(n->peers[i].info->hall, name) == 0; i++) {
            n->ids[i] = n->peers[i].id;
            hall.count++;
        }
        if (strcmp(name, own_hall_name) == 0) {
            n->own_hall = hall;
        } else {
            hall.relays = count_relays(n, &hall, NULL);
            n->other_halls[n->other_hall_count++] = hall;
        }
    }
}

/* Finds out whether this host is a relay of its hall, and how many of the others are. */
static void set_own_role(reporter_t* n, const cw_member_info_t* self) {
    uint32_t relays = count_relays(n, &n->own_hall, self);
    uint32_t preceding = 0;
    for (uint32_t i = 0; i < n->own_hall.count; i++) {
        preceding += precedes(n->peers[n->own_hall.first + i].info, self);
    }
    n->is_relay = preceding < relays;
    n->own_hall.relays = relays - n->is_relay;
}

void reporter_refresh_peers(reporter_t* n) {
    if (!n->members || !n->has_membership_changed) {
        return;
    }
    const cw_member_info_t* self = &cw_members_at(n->members, 0)->info;
    n->has_membership_changed = false;
    n->peer_count = 0;
    for (uint32_t i = 1; i < cw_members_count(n->members) && n->peer_count < HOSTS_MAX; i++) {
        const cw_member_info_t* info = &cw_members_at(n->members, i)->info;
        if (info->state == CW_MEMBER_ALIVE) {
            add_peer(n, info);
        }
    }
    qsort(n->peers, n->peer_count, sizeof(*n->peers), compare_peers);
    n->plan = cw_relay_plan(n->live);
    group_by_hall(n, self->hall);
    set_own_role(n, self);
}

const peer_t* reporter_choose_relay(reporter_t* n, const hall_range_t* hall) {
    uint64_t random = cw_mix(n->desc.host, ++n->random_count);
    uint32_t i = cw_relay_choose(&n->ids[hall->first], hall->relays, &n->plan, n->desc.host, random);
    return &n->peers[hall->first + i];
}

/* -- sending -------------------------------------------------------------- */

datagram_t reporter_encode(reporter_t* n, cw_load_message_t* message, cw_load_scope_t scope) {
    datagram_t d;
    message->cluster = n->cluster;
    message->host = n->desc.host;
    message->source_state = n->desc.source_state(n->desc.user_data);
    message->scope = scope;
    d.size = cw_load_encode(message, d.bytes, sizeof(d.bytes));
    return d;
}

void reporter_send(reporter_t* n, const peer_t* peer, const datagram_t* d) {
    if (d->size) {
        sendto(n->fd, d->bytes, d->size, MSG_DONTWAIT, (const struct sockaddr*)&peer->load, sizeof(peer->load));
        n->stats.out++;
    }
}

void reporter_send_to_hall(reporter_t* n, cw_load_message_t* message) {
    datagram_t d = reporter_encode(n, message, CW_LOAD_NO_RELAY);
    for (uint32_t i = 0; i < n->own_hall.count; i++) {
        reporter_send(n, &n->peers[n->own_hall.first + i], &d);
    }
}

void reporter_send_to_other_halls(reporter_t* n, cw_load_message_t* message) {
    datagram_t to_forward = reporter_encode(n, message, CW_LOAD_RELAY_TO_HALL);
    datagram_t last = reporter_encode(n, message, CW_LOAD_NO_RELAY);
    for (uint32_t i = 0; i < n->other_hall_count; i++) {
        const hall_range_t* hall = &n->other_halls[i];
        reporter_send(n, reporter_choose_relay(n, hall), hall->count == 1 ? &last : &to_forward);
    }
}

void reporter_send_to_relay(reporter_t* n, cw_load_message_t* message) {
    if (n->own_hall.count) {
        datagram_t d = reporter_encode(n, message, CW_LOAD_RELAY_TO_ALL);
        reporter_send(n, reporter_choose_relay(n, &n->own_hall), &d);
    }
}
