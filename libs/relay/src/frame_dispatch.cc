#include <algorithm>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/relay_node.h"

/// Where the frames of other nodes go.
namespace almondlink::relay {

void RelayNode::OnCallFrame(const PeerLinkPointer& link,
                            const RawFrame& frame) {
  switch (frame.type) {
    case FrameType::kCall: {
      CallFrame call;
      if (!Decode(frame.payload, call)) {
        link->Close();
        this->served.OnLinkClosed(link->Id());
        return;
      }
      const std::int64_t offset =
          BootTimeNow().count - static_cast<std::int64_t>(call.sent_ms);
      const auto [known, is_new] =
          this->clock_offsets.emplace(link->Id(), offset);
      known->second = std::min(known->second, offset);
      const Millis held{offset - known->second};
      this->served.OnCall(
          link->Id(), call,
          this->settings.decisions.has_held_frames ? held : Millis{0});
      return;
    }
    case FrameType::kCancel: {
      std::uint32_t id = 0;
      if (DecodeCancel(frame.payload, id)) {
        this->served.OnCancel(link->Id(), id);
      }
      return;
    }
    case FrameType::kWindow: {
      WindowFrame window;
      if (Decode(frame.payload, window)) {
        this->served.OnWindow(link->Id(), window.id, window.bytes);
      }
      return;
    }
    case FrameType::kQuotaAsk: {
      QuotaAskFrame ask;
      if (Decode(frame.payload, ask)) {
        this->entry.Quotas().OnAsk(link, ask);
      }
      return;
    }
    case FrameType::kBlame:
    case FrameType::kTrialAsk:
    case FrameType::kTrialOver:
      this->OnBlameFrame(link, frame);
      return;
    default:
      // A newer node's frame; it does without an answer.
      return;
  }
}

/// What other nodes know of requests that targets ended under, and ask for.
void RelayNode::OnBlameFrame(const PeerLinkPointer& link,
                             const RawFrame& frame) {
  BlameExchange& blame = this->entry.Blame();
  BlameFrame news;
  TrialAskFrame ask;
  TrialOverFrame over;
  if (frame.type == FrameType::kBlame && Decode(frame.payload, news)) {
    blame.OnNews(news);
  } else if (frame.type == FrameType::kTrialAsk && Decode(frame.payload, ask)) {
    blame.OnAsk(link, ask);
  } else if (frame.type == FrameType::kTrialOver &&
             Decode(frame.payload, over)) {
    blame.OnOver(over);
  } else {
    LogEvent(kEventPeerRefused, {{"reason", "a frame of blame is cut"}});
    link->Close();
    this->served.OnLinkClosed(link->Id());
  }
}

void RelayNode::OnAnswerFrame(const PeerPointer& peer, const RawFrame& frame) {
  if (frame.type == FrameType::kAnswer) {
    AnswerFrame answer;
    if (Decode(frame.payload, answer)) {
      this->entry.OnAnswer(peer, answer);
    }
  } else if (frame.type == FrameType::kData) {
    DataFrame data;
    if (Decode(frame.payload, data)) {
      this->entry.OnPart(peer, data);
    }
  } else if (frame.type == FrameType::kQuotaLoan) {
    QuotaLoanFrame loan;
    if (Decode(frame.payload, loan)) {
      this->entry.Quotas().OnLoan(loan);
    }
  } else if (frame.type == FrameType::kTrialAnswer) {
    TrialAnswerFrame answer;
    if (Decode(frame.payload, answer)) {
      this->entry.Blame().OnPermitted(answer);
    }
  }
}

}  // namespace almondlink::relay
