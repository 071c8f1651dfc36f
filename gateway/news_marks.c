/* Marks of suspect requests, which say that a server's process ended while it ran the request: sent at once, forwarded
   and repeated. */
#include "clock.h"
#include "news_parts.h"

/* The hosts of the first ranks repeat all marks, so that neither a lost datagram nor a host that just started costs a
   server. 48 marks of 30 bytes a second from two hosts are 3 KB/s for each host that receives them. */
#define MARK_REPEAT_INTERVAL_MS 1000
#define MARK_REPEATERS 2
#define MARK_BURST_DATAGRAMS 16  /* sent at once when a host joins; the other marks follow by repetition */
#define MARK_RESEND_DELAY_MS 150 /* before a new mark is sent a second time: one datagram in ten may be lost */
#define STALL_MS 100             /* a longer delay means that this process stalled and datagrams waited in its socket */

static void queue_mark(news_t* n, const cw_mark_t* mark, bool to_other_halls, int64_t due_ms) {
    if (n->mark_count < MARK_QUEUE_MAX) {
        n->marks[n->mark_count++] = (pending_mark_t){
            .mark = *mark, .to_other_halls = to_other_halls, .due_ms = due_ms, .stamped_ms = clock_ms()};
    }
}

/* Sends the marks that are due, only those for the other halls or all, in as few datagrams as hold them. */
static void send_due_marks(news_t* n, bool to_other_halls, void (*send)(news_t*, cw_load_message_t*)) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < n->mark_count; i++) {
        const pending_mark_t* pending = &n->marks[i];
        if (pending->due_ms > now_ms || (to_other_halls && !pending->to_other_halls)) {
            continue;
        }
        message.marks[message.mark_count] = pending->mark;
        message.marks[message.mark_count++].age_ms += (uint32_t)(now_ms - pending->stamped_ms);
        if (message.mark_count == CW_LOAD_MARKS) {
            send(n, &message);
            message.mark_count = 0;
        }
    }
    if (message.mark_count) {
        send(n, &message);
    }
}

static void drop_sent_marks(news_t* n) {
    int64_t now_ms = clock_ms();
    uint32_t kept = 0;
    for (uint32_t i = 0; i < n->mark_count; i++) {
        if (n->marks[i].due_ms > now_ms) {
            n->marks[kept++] = n->marks[i];
        }
    }
    n->mark_count = kept;
}

void news_tell_marks(news_t* n) {
    if (!n->mark_count) {
        return;
    }
    news_read_members(n);
    if (n->is_relay) {
        send_due_marks(n, false, news_send_to_hall);
        send_due_marks(n, true, news_send_to_other_halls);
    } else {
        send_due_marks(n, true, news_send_to_relay);
    }
    drop_sent_marks(n);
}

/* The ages of marks show which servers ended at the same moment, so they must stay exact: the upper bound of the
   datagram's delay is added only after this process stalled. */
void news_take_marks(news_t* n, const cw_load_message_t* message, uint32_t delay_ms) {
    uint32_t stall_ms = delay_ms > STALL_MS ? delay_ms : 0;
    for (uint32_t i = 0; i < message->mark_count; i++) {
        cw_mark_t mark = message->marks[i];
        mark.age_ms += mark.age_ms < UINT32_MAX - stall_ms ? stall_ms : 0;
        if (n->desc.on_mark) {
            n->desc.on_mark(n->desc.user_data, &mark);
        }
        if (message->scope != CW_LOAD_LAST) {
            queue_mark(n, &mark, message->scope == CW_LOAD_FOR_ALL, 0);
            n->stats.passed_on++;
        }
    }
    news_tell_marks(n);
}

void news_repeat_marks(news_t* n, int64_t now_ms) {
    if (n->rank >= MARK_REPEATERS || now_ms - n->marks_repeated_ms < MARK_REPEAT_INTERVAL_MS || !n->desc.marks) {
        return;
    }
    cw_mark_t marks[CW_LOAD_MARKS];
    uint32_t count = n->desc.marks(n->desc.user_data, &n->next_mark, marks, CW_LOAD_MARKS);
    for (uint32_t i = 0; i < count; i++) {
        queue_mark(n, &marks[i], true, 0);
    }
    n->marks_repeated_ms = now_ms;
}

/* A host that just started and lacks a mark would send the request to more servers, and its callers reach it within
   milliseconds of its start: it gets all marks at once. */
void news_tell_all_marks(news_t* n) {
    n->next_mark = 0;
    for (uint32_t i = 0; i < MARK_BURST_DATAGRAMS && (!i || n->next_mark); i++) {
        n->marks_repeated_ms = 0;
        news_repeat_marks(n, clock_ms());
        news_tell_marks(n);
    }
}

void news_on_mark(news_t* n, const cw_mark_t* mark) {
    queue_mark(n, mark, true, 0);
    queue_mark(n, mark, true, clock_ms() + MARK_RESEND_DELAY_MS);
    news_flush_after(n, FLUSH_DELAY_MS);
}
