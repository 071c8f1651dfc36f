/* Inquiries of all hosts: what engines have of streams whose version nobody remembers. Those of a moment share a
   datagram. */
#include "clock.h"
#include "reporter_internal.h"

#define INQUIRY_DELAY_MS 5

static void send_inquiries(reporter_t* n) {
    if (!n->inquiries.count) {
        return;
    }
    datagram_t d = reporter_encode_streams(n, &n->inquiries);
    for (uint32_t i = 0; i < n->peer_count; i++) {
        reporter_send(n, &n->peers[i], &d);
    }
    n->inquiries.count = 0;
}

static void on_inquiry_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    send_inquiries(w->data);
}

void reporter_inquire_stream(reporter_t* n, const cw_stream_entry_t* inquiry, cw_stream_audience_t* audience) {
    reporter_refresh_peers(n);
    n->inquiries.entries[n->inquiries.count++] = *inquiry;
    if (n->inquiries.count == CW_STREAM_ENTRIES) {
        send_inquiries(n);
    } else if (!ev_is_active(&n->inquiry_timer)) {
        ev_timer_set(&n->inquiry_timer, INQUIRY_DELAY_MS / MS_PER_S, 0.0);
        ev_timer_start(n->desc.loop, &n->inquiry_timer);
    }
    audience->hosts = n->peer_count;
    for (uint32_t i = 0; i < n->peer_count; i++) {
        cw_stream_audience_add(audience, n->peers[i].id, inquiry->left_ms >> CW_STREAM_QUESTION_BIT);
    }
}

void reporter_reply_inquiries(reporter_t* n, const cw_stream_message_t* inquiries, const struct sockaddr_in* to) {
    cw_stream_message_t message = {.kind = CW_STREAM_EVIDENCE, .count = inquiries->count};
    const peer_t peer = {.load = *to};
    if (!n->desc.on_stream_inquiry || !message.count) {
        return;
    }
    for (uint32_t i = 0; i < message.count; i++) {
        n->desc.on_stream_inquiry(n->desc.user_data, &inquiries->entries[i], &message.entries[i]);
    }
    datagram_t d = reporter_encode_streams(n, &message);
    reporter_send(n, &peer, &d);
}

void reporter_receive_evidence(reporter_t* n, const cw_stream_message_t* evidence) {
    for (uint32_t i = 0; n->desc.on_stream_evidence && i < evidence->count; i++) {
        n->desc.on_stream_evidence(n->desc.user_data, evidence->host, &evidence->entries[i]);
    }
}

void reporter_setup_inquiries(reporter_t* n) {
    n->inquiries.kind = CW_STREAM_INQUIRY;
    ev_init(&n->inquiry_timer, on_inquiry_timer);
    n->inquiry_timer.data = n;
}

void reporter_shutdown_inquiries(reporter_t* n) {
    ev_timer_stop(n->desc.loop, &n->inquiry_timer);
}
