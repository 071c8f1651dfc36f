/* Marks of requests under which servers end: told at once, passed on, and told again. */
#include "clock.h"
#include "news_parts.h"

/* Marks of suspect requests are told again by the first ranks, so that a lost datagram and a host that has just started
   cost no server. 48 marks of 30 bytes from two hosts are 3 KB a second for each host that hears them. */
#define MARKS_REPEAT_MS 1000
#define MARKS_RANKS 2
#define MARKS_BURST 16     /* datagrams of marks told at once when a host has come; the rest follows */
#define MARKS_AGAIN_MS 150 /* a new mark is told a second time so much later: one datagram in ten may be lost */
#define LATE_MS 100        /* since the last tick: this process stood still, and what it reads now may have waited */

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

void news_tell_marks(news_t* n) {
    if (!n->mark_count) {
        return;
    }
    news_read_members(n);
    if (n->is_relay) {
        send_marks(n, false, news_send_to_hall);
        send_marks(n, true, news_send_to_other_halls);
    } else {
        send_marks(n, true, news_send_to_relay);
    }
    drop_told_marks(n);
}

/* Which servers ended at the same moment is told by the ages of marks, so that the longest time that the datagram may
   have been under way is added only after this process stood still. */
void news_take_marks(news_t* n, const cw_load_message_t* message, uint32_t waited_ms) {
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
    news_tell_marks(n);
}

void news_repeat_marks(news_t* n, int64_t now_ms) {
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
void news_tell_all_marks(news_t* n) {
    n->marks_at = 0;
    for (uint32_t i = 0; i < MARKS_BURST && (!i || n->marks_at); i++) {
        n->marks_ms = 0;
        news_repeat_marks(n, clock_ms());
        news_tell_marks(n);
    }
}

void news_on_mark(news_t* n, const cw_mark_t* mark) {
    mark_add(n, mark, true, 0);
    mark_add(n, mark, true, clock_ms() + MARKS_AGAIN_MS);
    news_flush_after(n, FLUSH_MS);
}
