/* Software versions of streams: announced to all hosts at once and a second time a moment later, queried, and handed
   over to hosts that have started. The first datagrams leave in the call that announces, since this process may be
   killed right after it. */
#include <string.h>

#include "../chalkway_rendezvous.h"
#include "clock.h"
#include "reporter_internal.h"

/* Delay until a record is sent again: one datagram in ten may be lost. */
#define RESEND_DELAY_MS 150
#define QUERY_OWN_HALL 3    /* hosts of the own hall that a query is sent to */
#define QUERY_OTHER_HALLS 3 /* hosts of other halls, one of each */
#define KEEPERS 3           /* hosts that keep the version of a stream */
#define QUERY_KEEPERS 4     /* one more: the host that has ended may still be known, and takes a place */

datagram_t reporter_encode_streams(const reporter_t* n, cw_stream_message_t* message) {
    datagram_t d;
    message->cluster = n->cluster;
    message->host = n->desc.host;
    d.size = cw_stream_message_encode(message, d.bytes, sizeof(d.bytes));
    return d;
}

/* -- announcements -------------------------------------------------------- */

static void queue_stream(reporter_t* n, const cw_stream_record_t* record, bool to_other_halls, int64_t due_ms) {
    if (n->stream_count < STREAM_QUEUE_MAX) {
        n->streams[n->stream_count++] =
            (pending_stream_t){.record = *record, .to_other_halls = to_other_halls, .due_ms = due_ms};
    }
}

static cw_stream_entry_t make_entry(const cw_stream_record_t* record, int64_t now_ms) {
    int64_t left_ms = record->expires_ms - now_ms;
    return (cw_stream_entry_t){.stream = record->stream,
                               .pool = record->pool,
                               .version = record->version,
                               .left_ms = left_ms > 0 ? (uint32_t)left_ms : 0};
}

static void send_to_hall(reporter_t* n, cw_stream_message_t* message) {
    message->scope = CW_LOAD_NO_RELAY;
    datagram_t d = reporter_encode_streams(n, message);
    for (uint32_t i = 0; i < n->own_hall.count; i++) {
        reporter_send(n, &n->peers[n->own_hall.first + i], &d);
    }
}

static void send_to_other_halls(reporter_t* n, cw_stream_message_t* message) {
    message->scope = CW_LOAD_RELAY_TO_HALL;
    datagram_t d = reporter_encode_streams(n, message);
    for (uint32_t i = 0; i < n->other_hall_count; i++) {
        reporter_send(n, reporter_choose_relay(n, &n->other_halls[i]), &d);
    }
}

static void send_to_relay(reporter_t* n, cw_stream_message_t* message) {
    message->scope = CW_LOAD_RELAY_TO_ALL;
    datagram_t d = reporter_encode_streams(n, message);
    reporter_send(n, reporter_choose_relay(n, &n->own_hall), &d);
}

/* Sends the message on its way to all hosts before it returns. A relay that batches what it forwards hands its own
   message to another relay. */
static void send_at_once(reporter_t* n, cw_stream_message_t* message) {
    if (n->own_hall.relays && (n->plan.batch_ms || !n->is_relay)) {
        send_to_relay(n, message);
    } else {
        send_to_hall(n, message);
        send_to_other_halls(n, message);
    }
}

/* Sends the records that are due. to_other_halls: only those for other halls, otherwise all. */
static void send_due(reporter_t* n, int64_t now_ms, bool to_other_halls,
                     void (*send)(reporter_t*, cw_stream_message_t*)) {
    cw_stream_message_t message = {.kind = CW_STREAM_ANNOUNCE};
    for (uint32_t i = 0; i < n->stream_count; i++) {
        const pending_stream_t* item = &n->streams[i];
        bool has_expired = item->record.expires_ms <= now_ms;
        if (item->due_ms > now_ms || has_expired || (to_other_halls && !item->to_other_halls)) {
            continue;
        }
        message.entries[message.count++] = make_entry(&item->record, now_ms);
        if (message.count == CW_STREAM_ENTRIES) {
            send(n, &message);
            message.count = 0;
        }
    }
    if (message.count) {
        send(n, &message);
    }
}

static void drop_sent(reporter_t* n, int64_t now_ms) {
    uint32_t remaining = 0;
    for (uint32_t i = 0; i < n->stream_count; i++) {
        if (n->streams[i].due_ms > now_ms) {
            n->streams[remaining++] = n->streams[i];
        }
    }
    n->stream_count = remaining;
}

void reporter_send_streams(reporter_t* n) {
    if (!n->stream_count) {
        return;
    }
    int64_t now_ms = clock_ms();
    reporter_refresh_peers(n);
    if (n->is_relay) {
        send_due(n, now_ms, false, send_to_hall);
        send_due(n, now_ms, true, send_to_other_halls);
    } else if (n->own_hall.relays) {
        send_due(n, now_ms, true, send_to_relay);
    }
    drop_sent(n, now_ms);
}

void reporter_announce_streams(reporter_t* n, const cw_stream_record_t* records, uint32_t count) {
    cw_stream_message_t message = {.kind = CW_STREAM_ANNOUNCE};
    int64_t now_ms = clock_ms();
    reporter_refresh_peers(n);
    for (uint32_t i = 0; i < count; i++) {
        message.entries[message.count++] = make_entry(&records[i], now_ms);
        queue_stream(n, &records[i], true, now_ms + RESEND_DELAY_MS);
        if (message.count == CW_STREAM_ENTRIES || i + 1 == count) {
            send_at_once(n, &message);
            message.count = 0;
        }
    }
}

/* -- keepers --------------------------------------------------------------- */

/* The hosts, other than this one, that keep the version of the stream. Returns their number. */
static uint32_t list_keepers(const reporter_t* n, uint64_t stream, uint64_t* out, uint32_t max) {
    uint64_t hosts[HOSTS_MAX];
    for (uint32_t i = 0; i < n->peer_count; i++) {
        hosts[i] = n->peers[i].id;
    }
    return cw_rendezvous_owners(stream, hosts, n->peer_count, out, max);
}

static const peer_t* find_peer(const reporter_t* n, uint64_t host) {
    for (uint32_t i = 0; i < n->peer_count; i++) {
        if (n->peers[i].id == host) {
            return &n->peers[i];
        }
    }
    return NULL;
}

/* Sends the datagram to the keepers of the stream. Returns their number. */
static uint32_t send_to_keepers(reporter_t* n, uint64_t stream, const datagram_t* d, uint32_t max) {
    uint64_t keepers[QUERY_KEEPERS];
    uint32_t count = list_keepers(n, stream, keepers, max);
    for (uint32_t i = 0; i < count; i++) {
        reporter_send(n, find_peer(n, keepers[i]), d);
    }
    return count;
}

void reporter_deposit_stream(reporter_t* n, const cw_stream_record_t* record) {
    cw_stream_message_t message = {.kind = CW_STREAM_ANNOUNCE, .scope = CW_LOAD_NO_RELAY, .count = 1};
    reporter_refresh_peers(n);
    message.entries[0] = make_entry(record, clock_ms());
    datagram_t d = reporter_encode_streams(n, &message);
    send_to_keepers(n, record->stream, &d, KEEPERS);
}

/* -- queries -------------------------------------------------------------- */

uint32_t reporter_query_stream(reporter_t* n, uint64_t stream, uint64_t pool) {
    cw_stream_message_t message = {.kind = CW_STREAM_QUERY, .count = 1, .entries = {{.stream = stream, .pool = pool}}};
    reporter_refresh_peers(n);
    datagram_t d = reporter_encode_streams(n, &message);
    uint32_t queried = send_to_keepers(n, stream, &d, QUERY_KEEPERS);
    for (uint32_t i = 0; i < n->own_hall.count && i < QUERY_OWN_HALL; i++) {
        uint64_t first = cw_mix(n->desc.host, ++n->random_count) % n->own_hall.count;
        reporter_send(n, &n->peers[n->own_hall.first + (first + i) % n->own_hall.count], &d);
        queried++;
    }
    for (uint32_t i = 0; i < n->other_hall_count && i < QUERY_OTHER_HALLS; i++) {
        const hall_range_t* hall = &n->other_halls[(stream + i) % n->other_hall_count];
        reporter_send(n, &n->peers[hall->first + cw_mix(n->desc.host, ++n->random_count) % hall->count], &d);
        queried++;
    }
    return queried;
}

static void reply(reporter_t* n, const cw_stream_message_t* query, const struct sockaddr_in* to) {
    cw_stream_message_t message = {.kind = CW_STREAM_ANNOUNCE};
    peer_t peer = {.load = *to};
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < query->count; i++) {
        cw_stream_record_t record;
        if (n->desc.on_stream_query(n->desc.user_data, query->entries[i].stream, query->entries[i].pool, &record)) {
            message.entries[message.count++] = make_entry(&record, now_ms);
        }
    }
    if (message.count) {
        datagram_t d = reporter_encode_streams(n, &message);
        reporter_send(n, &peer, &d);
    }
}

/* -- handover ------------------------------------------------------------- */

void reporter_request_page(reporter_t* n, const cw_handover_request_t* request) {
    cw_stream_message_t message = {.kind = CW_STREAM_HANDOVER, .count = 1, .entries = {{.stream = request->cursor}}};
    reporter_refresh_peers(n);
    const peer_t* peer = find_peer(n, request->host);
    if (peer) {
        datagram_t d = reporter_encode_streams(n, &message);
        reporter_send(n, peer, &d);
    }
}

/* The first page also brings what is not about streams: this host may be the only one that knows it still. */
static void send_page(reporter_t* n, const cw_stream_message_t* request, const struct sockaddr_in* to) {
    cw_stream_message_t message = {.kind = CW_STREAM_PAGE};
    const peer_t peer = {.load = *to};
    if (!request->count || !n->desc.write_page) {
        return;
    }
    if (!request->entries[0].stream) {
        reporter_send_observations_to(n, &peer);
        reporter_send_leaving_to(n, &peer);
    }
    n->desc.write_page(n->desc.user_data, request->entries[0].stream, &message);
    datagram_t d = reporter_encode_streams(n, &message);
    reporter_send(n, &peer, &d);
}

/* -- receiving ------------------------------------------------------------ */

static void receive_announcement(reporter_t* n, const cw_stream_message_t* message) {
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < message->count; i++) {
        const cw_stream_entry_t* entry = &message->entries[i];
        cw_stream_record_t record = {.stream = entry->stream,
                                     .pool = entry->pool,
                                     .version = entry->version,
                                     .expires_ms = now_ms + entry->left_ms};
        n->desc.on_stream_announced(n->desc.user_data, &record);
        if (message->scope != CW_LOAD_NO_RELAY) {
            queue_stream(n, &record, message->scope == CW_LOAD_RELAY_TO_ALL, 0);
        }
    }
    if (!n->stream_count) {
        return;
    }
    reporter_refresh_peers(n);
    if (n->plan.batch_ms) {
        reporter_flush_after(n, n->plan.batch_ms);
    } else {
        reporter_send_streams(n);
    }
}

bool reporter_receive_streams(reporter_t* n, const uint8_t* bytes, size_t size, const struct sockaddr_in* from) {
    cw_stream_message_t message;
    if (!n->desc.on_stream_announced || cw_stream_message_decode(&message, bytes, size) != CW_OK ||
        message.cluster != n->cluster) {
        return false;
    }
    switch (message.kind) {
        case CW_STREAM_QUERY:
            reply(n, &message, from);
            break;
        case CW_STREAM_HANDOVER:
            send_page(n, &message, from);
            break;
        case CW_STREAM_INQUIRY:
            reporter_reply_inquiries(n, &message, from);
            break;
        case CW_STREAM_EVIDENCE:
            reporter_receive_evidence(n, &message);
            break;
        case CW_STREAM_PAGE:
            if (n->desc.on_page) {
                n->desc.on_page(n->desc.user_data, &message);
            }
            break;
        default:
            receive_announcement(n, &message);
    }
    return true;
}
